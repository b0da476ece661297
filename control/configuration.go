package control

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// ReadService asks an outbound worker to read the manifest of the configuration
// service. The result arrives as ServiceRead.
type ReadService struct {
	Action spread.ReadService
}

// ControlCommand marks ReadService as a command.
func (ReadService) ControlCommand() {}

// ReadServiceParts asks an outbound worker to read values from the configuration
// service. The result arrives as ServicePartsRead.
type ReadServiceParts struct {
	Names []string
}

// ControlCommand marks ReadServiceParts as a command.
func (ReadServiceParts) ControlCommand() {}

// ServiceRead is the result of a successful read of the manifest.
type ServiceRead struct {
	Read spread.ServiceReadResult
}

// ControlEvent marks ServiceRead as an event.
func (ServiceRead) ControlEvent() {}

// ServicePartsRead holds values read from the configuration service.
type ServicePartsRead struct {
	Parts spread.Parts
}

// ControlEvent marks ServicePartsRead as an event.
func (ServicePartsRead) ControlEvent() {}

// ConfigLog is the command to log an accepted or refused configuration.
type ConfigLog struct {
	Accepted *config.Config  // nil for a refusal
	From     string          // peer that supplied it; empty for the service
	Refusal  *spread.Refusal // nil for an acceptance
}

// ControlCommand marks ConfigLog as a command.
func (ConfigLog) ControlCommand() {}

// configStage distributes the configuration among the peers and determines how long
// API keys can be trusted.
type configStage struct {
	state         *State
	spreader      *spread.Spreader
	parsed        *config.Config // result of the last successful validation
	memberVersion uint64         // host list version of the members last passed to the spreader
}

// newConfigStage returns the stage. makeSpreader creates its spreader, which
// validates documents with the given function.
func newConfigStage(state *State, makeSpreader func(validate func(spread.Document) error) *spread.Spreader) *configStage {
	s := &configStage{state: state}
	s.spreader = makeSpreader(s.validate)
	return s
}

// Name returns "configuration".
func (s *configStage) Name() string { return "configuration" }

// Deadline returns the time of the next request or read.
func (s *configStage) Deadline() time.Time { return s.spreader.NextTick() }

// Handle processes requests and replies of peers and results from the service.
func (s *configStage) Handle(now time.Time, ev Event, out *Output) {
	s.updateMembers()
	switch e := ev.(type) {
	case ServiceRead:
		s.executeAll(s.spreader.OnServiceRead(now, e.Read), out)
	case ServicePartsRead:
		s.executeAll(s.spreader.OnParts(now, spread.ConfigService, e.Parts), out)
	case PeerRequest:
		s.handleRequest(now, e, out)
	case PeerResponse:
		s.handleResponse(now, e, out)
	case statusRequest:
		s.reportStatus(e.status)
	case Tick:
		s.executeAll(s.spreader.Tick(now), out)
	}
	s.extendTrust(now, out)
}

func (s *configStage) updateMembers() {
	if s.memberVersion != s.state.HostVersion {
		s.memberVersion = s.state.HostVersion
		s.spreader.SetMembers(s.state.Members)
	}
}

func (s *configStage) handleRequest(now time.Time, e PeerRequest, out *Output) {
	switch m := e.Message.(type) {
	case spread.ManifestRequest:
		manifest, actions := s.spreader.OnManifestRequest(now, e.From, m)
		e.Respond(manifest)
		s.executeAll(actions, out)
	case spread.PartsRequest:
		e.Respond(s.spreader.OnPartsRequest(m))
	case spread.Announcement:
		e.Respond(Ack{})
		s.executeAll(s.spreader.OnAnnouncement(now, e.From, m), out)
	}
}

func (s *configStage) handleResponse(now time.Time, e PeerResponse, out *Output) {
	if e.Err != nil {
		return
	}
	switch reply := e.Reply.(type) {
	case spread.Manifest:
		s.executeAll(s.spreader.OnManifest(now, e.Peer, reply), out)
	case spread.Parts:
		s.executeAll(s.spreader.OnParts(now, e.Peer, reply), out)
	}
}

func (s *configStage) executeAll(actions []spread.Action, out *Output) {
	for _, action := range actions {
		s.execute(action, out)
	}
}

func (s *configStage) execute(action spread.Action, out *Output) {
	switch a := action.(type) {
	case spread.RequestManifest:
		s.state.call(out, a.Peer, a.Request)
	case spread.RequestParts:
		s.state.call(out, a.Peer, a.Request)
	case spread.ReadService:
		out.Emit(ReadService{Action: a})
	case spread.ReadServiceParts:
		out.Emit(ReadServiceParts{Names: a.Names})
	case spread.Announce:
		for _, peer := range a.Peers {
			s.state.call(out, peer, a.Announcement)
		}
	case spread.Accepted:
		s.state.Config = s.parsed
		out.Emit(ConfigLog{Accepted: s.parsed, From: a.From})
		out.Publish()
	case spread.Refused:
		out.Emit(ConfigLog{From: a.Refusal.From, Refusal: &a.Refusal})
	}
}

// validate parses a document; an error rejects the whole document. A document
// contains a manifest only if the process that read it from the service could not
// parse the manifest.
func (s *configStage) validate(doc spread.Document) error {
	manifest, unreadable := doc.Parts[config.ManifestName]
	if !unreadable {
		manifest = s.state.Config.BuildManifest(doc.Stamp.Version, doc.Parts)
	}
	parsed, problems := s.state.Config.Update(manifest, doc.Parts)
	if len(problems) > 0 {
		return fmt.Errorf("%d problems, the first: %s", len(problems), problems[0])
	}
	s.parsed = parsed
	return nil
}

// minTrustExtension is the smallest extension of the key trust that is published.
// It limits these snapshots to one per 100 ms.
const minTrustExtension = 100 * time.Millisecond

// extendTrust publishes until when keys can be trusted.
func (s *configStage) extendTrust(now time.Time, out *Output) {
	until := s.spreader.CurrentUntil(now)
	if until.Sub(s.state.KeysTrustedUntil) >= minTrustExtension {
		s.state.KeysTrustedUntil = until
		out.Publish()
	}
}

func (s *configStage) reportStatus(status *Status) {
	for _, r := range s.spreader.Refusals() {
		status.Refusals = append(status.Refusals, ConfigRefusal{Version: r.Stamp.Version, At: r.At, Reason: r.Reason})
	}
}
