package source

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxHostList bounds an answer of the host list in bytes. At the goal's size,
// 2,700 hosts with 31,000 backend servers, a whole list has about 4 MB.
const MaxHostList = 16 << 20

// HostState tells whether a host takes new work.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving" // finishes its work and goes away
)

// Host is one host of the fleet.
type Host struct {
	ID       string          `json:"id"`
	Zone     string          `json:"zone"`
	State    HostState       `json:"state"`
	Traffic  string          `json:"traffic"` // IP:port for requests
	Control  string          `json:"control"` // IP:port for control messages
	Backends []BackendServer `json:"backends"`
}

// BackendServer is one backend server of a host.
type BackendServer struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`   // concurrent requests
	Address string `json:"address"` // IP:port, reachable from its host
}

// HostList is one version of the list, sorted by host identifier. It is
// immutable.
type HostList struct {
	Version uint64
	Hosts   []Host
}

// hostsAnswer is either a whole list, or the changes since the version After.
type hostsAnswer struct {
	Version uint64   `json:"version"`
	After   uint64   `json:"after"` // 0 for a whole list
	Hosts   []Host   `json:"hosts"` // all hosts, or those added or changed
	Gone    []string `json:"gone"`  // identifiers of hosts that are no longer listed
}

type hostsQuery struct {
	After uint64 `url:"after,omitempty"`
}

// HostListReader reads the host list and follows its changes. One goroutine at
// a time may use it.
type HostListReader struct {
	endpoint endpoint
	current  *HostList
}

// NewHostListReader reads from a service at a base address. A nil client means
// NewClient().
func NewHostListReader(base string, client *http.Client) *HostListReader {
	return &HostListReader{newEndpoint(base, client, MaxHostList), nil}
}

// Read returns the newest list known, and whether it is newer than that of the
// call before. A malformed answer is an error and changes nothing. A list that
// goes back in version is ignored, since the service may serve old copies.
func (r *HostListReader) Read(ctx context.Context) (list *HostList, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	var answer hostsAnswer
	status, err := r.endpoint.get(ctx, "/v1/hosts", hostsQuery{r.version()}, nil, &answer)
	if err != nil {
		return r.current, false, err
	}
	if status == http.StatusNoContent || answer.Version <= r.version() {
		return r.current, false, nil
	}
	next, err := applyHosts(r.current, answer)
	if err != nil {
		return r.current, false, err
	}
	r.current = next
	return next, true, nil
}

func (r *HostListReader) version() uint64 {
	if r.current == nil {
		return 0
	}
	return r.current.Version
}

func applyHosts(current *HostList, answer hostsAnswer) (*HostList, error) {
	byID, err := baseHosts(current, answer.After)
	if err != nil {
		return nil, err
	}
	for _, id := range answer.Gone {
		delete(byID, id)
	}
	named := make(map[string]bool, len(answer.Hosts))
	for _, host := range answer.Hosts {
		if named[host.ID] {
			return nil, eris.Errorf("host list version %d: host %q appears twice", answer.Version, host.ID)
		}
		if err := checkHost(host); err != nil {
			return nil, eris.Wrapf(err, "host list version %d", answer.Version)
		}
		named[host.ID] = true
		byID[host.ID] = host
	}
	hosts := make([]Host, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		hosts = append(hosts, byID[id])
	}
	return &HostList{Version: answer.Version, Hosts: hosts}, nil
}

// baseHosts returns the hosts that an answer builds on: none for a whole list.
func baseHosts(current *HostList, after uint64) (map[string]Host, error) {
	byID := make(map[string]Host)
	if after == 0 {
		return byID, nil
	}
	if current == nil || current.Version != after {
		return nil, eris.Errorf("host list: changes since version %d were not asked for", after)
	}
	for _, host := range current.Hosts {
		byID[host.ID] = host
	}
	return byID, nil
}

func checkHost(host Host) error {
	if host.ID == "" || host.Zone == "" {
		return eris.Errorf("host %q in zone %q: identifier and zone are required", host.ID, host.Zone)
	}
	if host.State != HostLive && host.State != HostLeaving {
		return eris.Errorf("host %q: unknown state %q", host.ID, host.State)
	}
	for _, address := range []string{host.Traffic, host.Control} {
		if err := checkAddress(address); err != nil {
			return eris.Wrapf(err, "host %q", host.ID)
		}
	}
	ids := make(map[string]bool, len(host.Backends))
	for _, backend := range host.Backends {
		if err := checkBackend(backend); err != nil {
			return eris.Wrapf(err, "host %q", host.ID)
		}
		if ids[backend.ID] {
			return eris.Errorf("host %q: backend server %q appears twice", host.ID, backend.ID)
		}
		ids[backend.ID] = true
	}
	return nil
}

func checkBackend(backend BackendServer) error {
	if backend.ID == "" || backend.Service == "" || backend.Slots < 1 {
		return eris.Errorf("backend server %q: identifier, service and at least one slot are required", backend.ID)
	}
	return eris.Wrapf(checkAddress(backend.Address), "backend server %q", backend.ID)
}

// checkAddress accepts IP numbers only: processes resolve no names.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return eris.Wrapf(err, "address %q", address)
	}
	return nil
}
