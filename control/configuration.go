package control

import (
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// ReadService asks an outbound worker to read the manifest of the configuration
// service. The result comes back as ServiceAnswered.
type ReadService struct {
	Action spread.ReadService
}

// ControlCommand marks ReadService as a command.
func (ReadService) ControlCommand() {}

// ReadServiceParts asks an outbound worker for values of the configuration
// service. The result comes back as ServicePartsRead.
type ReadServiceParts struct {
	Names []string
}

// ControlCommand marks ReadServiceParts as a command.
func (ReadServiceParts) ControlCommand() {}

// ServiceAnswered is a successful read of the manifest.
type ServiceAnswered struct {
	Read spread.ServiceReadResult
}

// ControlEvent marks ServiceAnswered as an event.
func (ServiceAnswered) ControlEvent() {}

// ServicePartsRead holds values read from the configuration service.
type ServicePartsRead struct {
	Parts spread.Parts
}

// ControlEvent marks ServicePartsRead as an event.
func (ServicePartsRead) ControlEvent() {}

// ConfigLog reports accepted and refused configurations to operators.
type ConfigLog struct {
	Accepted *config.Config  // nil for a refusal
	From     string          // peer that supplied it; empty for the service
	Refusal  *spread.Refusal // nil for an acceptance
}

// ControlCommand marks ConfigLog as a command.
func (ConfigLog) ControlCommand() {}

// configStage spreads the configuration and decides whether keys can be trusted.
type configStage struct {
	state    *State
	spreader *spread.Spreader
	parsed   *config.Config // by the last successful validation
	version  uint64         // of the member set that the spreader knows
}

// newConfigStage returns the stage; makeSpreader builds its spreader around the
// validation of the stage.
func newConfigStage(state *State, makeSpreader func(validate func(spread.Document) error) *spread.Spreader) *configStage {
	s := &configStage{state: state}
	s.spreader = makeSpreader(s.validate)
	return s
}

// Name returns "configuration".
func (s *configStage) Name() string { return "configuration" }

// Deadline returns the time of the next ask or read.
func (s *configStage) Deadline() time.Time { return s.spreader.NextTick() }

// Handle takes answers of peers and of the service.
func (s *configStage) Handle(now time.Time, ev Event, out *Output) {
	s.followMembers()
	switch e := ev.(type) {
	case ServiceAnswered:
		s.apply(s.spreader.OnServiceRead(now, e.Read), out)
	case ServicePartsRead:
		s.apply(s.spreader.OnParts(now, spread.ConfigService, e.Parts), out)
	case PeerAsked:
		s.answer(now, e, out)
	case PeerReplied:
		s.takeReply(now, e, out)
	case statusAsked:
		s.report(e.status)
	case Tick:
		s.apply(s.spreader.Tick(now), out)
	}
	s.extendTrust(now, out)
}

func (s *configStage) followMembers() {
	if s.version != s.state.HostVersion {
		s.version = s.state.HostVersion
		s.spreader.SetMembers(s.state.Members)
	}
}

func (s *configStage) answer(now time.Time, e PeerAsked, out *Output) {
	switch m := e.Message.(type) {
	case spread.ManifestRequest:
		manifest, actions := s.spreader.OnManifestRequest(now, e.From, m)
		e.Answer(manifest)
		s.apply(actions, out)
	case spread.PartsRequest:
		e.Answer(s.spreader.OnPartsRequest(m))
	case spread.Announcement:
		e.Answer(Ack{})
		s.apply(s.spreader.OnAnnouncement(now, e.From, m), out)
	}
}

func (s *configStage) takeReply(now time.Time, e PeerReplied, out *Output) {
	if e.Err != nil {
		return
	}
	switch reply := e.Reply.(type) {
	case spread.Manifest:
		s.apply(s.spreader.OnManifest(now, e.Peer, reply), out)
	case spread.Parts:
		s.apply(s.spreader.OnParts(now, e.Peer, reply), out)
	}
}

func (s *configStage) apply(actions []spread.Action, out *Output) {
	for _, action := range actions {
		s.carryOut(action, out)
	}
}

func (s *configStage) carryOut(action spread.Action, out *Output) {
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

// validate parses a document; an error refuses it whole. A document carries a
// manifest only if a reader of the service could not read it.
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

// trustStep limits how often the end of trust is published: a snapshot each
// 100 ms at most.
const trustStep = 100 * time.Millisecond

// extendTrust publishes how long keys can be trusted.
func (s *configStage) extendTrust(now time.Time, out *Output) {
	until := s.spreader.CurrentUntil(now)
	if until.Sub(s.state.KeysUntil) >= trustStep {
		s.state.KeysUntil = until
		out.Publish()
	}
}

func (s *configStage) report(status *Status) {
	for _, r := range s.spreader.Refusals() {
		status.Refusals = append(status.Refusals, ConfigRefusal{Version: r.Stamp.Version, At: r.At, Reason: r.Reason})
	}
}
