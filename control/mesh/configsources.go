package mesh

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// A new configuration costs a call to the store for each process that reads it there. A
// few processes of each availability zone, its configuration sources, read it once a
// reader has announced its version, and offer it to the others of their zone, which fetch
// it from one of them. Where that fails, the configuration is read from the store.
const (
	// minConfigSources is the minimum number of sources in a zone. With two, the loss of
	// one leaves half of the zone without a delay.
	minConfigSources = 2
	// peersPerConfigSource limits the transfers of a source: ten of 30 KB take 0.25 s on
	// a link of 10 Mbit/s.
	peersPerConfigSource = 10
	// configOfferTimeout is how long a process waits for the offer of a source. A source
	// reads the configuration in some ten milliseconds.
	configOfferTimeout = 300 * time.Millisecond
	// PeerFetchTimeout limits the transfer of a configuration or a list from a peer,
	// beside its transfers to others.
	PeerFetchTimeout = 500 * time.Millisecond
)

// FetchConfig is a command to fetch the configuration from a peer that offers it.
type FetchConfig struct {
	Host    string
	Version uint64 // minimum version
}

// ControlCommand marks FetchConfig as a command.
func (FetchConfig) ControlCommand() {}

// ConfigNotFetched reports that a FetchConfig failed.
type ConfigNotFetched struct{ Version uint64 }

// ControlEvent marks ConfigNotFetched as an event.
func (ConfigNotFetched) ControlEvent() {}

// namedVersion is the newest version of a configuration that a peer named, and the peer. It
// is fetched from there if it does not arrive otherwise: a store that came back from a copy
// may have lost it until it is written again.
type namedVersion struct {
	version uint64
	host    string
	fetchAt time.Time // when it is fetched if it has not arrived
}

// namedFetchDelay is how long a named version may take to arrive by other ways: the offer
// of a source and the transfer from it. A reader gets it from the store, sooner.
const (
	namedFetchDelay       = configOfferTimeout + PeerFetchTimeout
	readerNamedFetchDelay = configRetryDelay
)

// noteVersion records a version that a peer holds.
func (s *storeStage) noteVersion(now time.Time, host string, version uint64) {
	if version <= s.version() || version < s.named.version {
		return
	}
	if version > s.named.version {
		delay := namedFetchDelay
		switch {
		case s.config.settling(now):
			delay = 0 // the store has lost it, or peers would not name it first
		case s.isReader:
			delay = readerNamedFetchDelay
		}
		s.named.fetchAt = now.Add(delay)
	}
	s.named.version, s.named.host = version, host
}

// correctVersion names the version of this process to a reader with an older one. A reader
// has it from the store by then, unless the store came back from a copy that lacks it.
func (s *storeStage) correctVersion(host string, version uint64, out *control.Output) {
	if version < s.version() {
		sendTo(out, []string{host}, notice.Message{ConfigVersion: &notice.ConfigVersion{Version: s.version()}})
	}
}

// fetchNamed requests a fetch of the named version if it is due.
func (s *storeStage) fetchNamed(now time.Time, out *control.Output) {
	if s.named.version <= s.version() || now.Before(s.named.fetchAt) {
		return
	}
	s.named.fetchAt = now.Add(PeerFetchTimeout)
	out.Emit(FetchConfig{Host: s.named.host, Version: s.named.version})
}

// configSources returns the hosts of this process's availability zone that read new
// configurations from the store, best ranked first.
func (s *storeStage) configSources(now time.Time) []string {
	self := s.state.identity
	members := []rendezvous.Member{{ID: self.Host}}
	for _, host := range s.state.hostsByZone[self.Zone] {
		if s.state.isReachable(now, s.state.peers[host]) {
			members = append(members, rendezvous.Member{ID: host})
		}
	}
	n := max(minConfigSources, (len(members)+peersPerConfigSource-1)/peersPerConfigSource)
	var hosts []string
	for _, member := range rendezvous.Rank(rendezvous.Hash("configuration"), members, n) {
		hosts = append(hosts, member.ID)
	}
	return hosts
}

// ownSource returns the source that this process fetches configurations from, or false if
// it is a source itself.
func (s *storeStage) ownSource(now time.Time) (string, bool) {
	sources := s.configSources(now)
	if slices.Contains(sources, s.state.identity.Host) {
		return "", false
	}
	return sources[rendezvous.Hash(s.state.identity.Host)%uint64(len(sources))], true
}

// handleOffer handles the announcement of a version by a peer that holds it.
func (s *storeStage) handleOffer(now time.Time, host string, version uint64, out *control.Output) {
	if version <= s.version() {
		return
	}
	source, ok := s.ownSource(now)
	switch {
	case !ok:
		s.readConfig(now, version, out)
	case host == source:
		s.fetchConfig(now, host, version, out)
	case version > max(s.awaitedVersion, s.fetchedVersion):
		s.awaitedVersion, s.awaitedUntil = version, now.Add(configOfferTimeout)
	}
}

// handleMissedOffer handles a version of which this process learns from the answer to a
// query: the source has offered it by now, unless it was announced a moment ago.
func (s *storeStage) handleMissedOffer(now time.Time, version uint64, out *control.Output) {
	source, ok := s.ownSource(now)
	switch {
	case !s.awaitedUntil.IsZero() && version <= s.awaitedVersion: // it is on its way
	case !ok || version <= s.fetchedVersion:
		s.readConfig(now, version, out)
	default:
		s.fetchConfig(now, source, version, out)
	}
}

// fetchConfig requests a fetch from a source, once per version.
func (s *storeStage) fetchConfig(now time.Time, host string, version uint64, out *control.Output) {
	if version <= s.fetchedVersion {
		return
	}
	s.fetchedVersion = version
	s.awaitedVersion, s.awaitedUntil = version, now.Add(PeerFetchTimeout)
	out.Emit(FetchConfig{Host: host, Version: version})
}

// stopAwaiting ends the wait for a configuration that has arrived, and reads one from the
// store that has not arrived in time.
func (s *storeStage) stopAwaiting(now time.Time, out *control.Output) {
	switch {
	case s.awaitedUntil.IsZero():
	case s.version() >= s.awaitedVersion:
		s.awaitedUntil = time.Time{}
	case !now.Before(s.awaitedUntil):
		s.awaitedUntil = time.Time{}
		emitLog(out, "no source offered the configuration, reading the store", map[string]any{"version": s.awaitedVersion})
		s.readConfig(now, s.awaitedVersion, out)
	}
}
