package control

import (
	"context"
	"time"
)

// Status is the state of a process that is reported to operators.
type Status struct {
	Host          string          `json:"host"`
	Zone          string          `json:"zone"`
	ConfigVersion uint64          `json:"configVersion"`
	KeysTrusted   bool            `json:"keysTrusted"`
	HostVersion   uint64          `json:"hostVersion"`
	Members       int             `json:"members"`
	HeldShards    int             `json:"keptShards"` // of 256
	Stopping      bool            `json:"stopping"`
	Refusals      []ConfigRefusal `json:"configRefusals,omitempty"`
	Peers         []PeerStatus    `json:"peers,omitempty"`
	Backends      []BackendStatus `json:"backends,omitempty"` // of the services whose shards this process leads
}

// ConfigRefusal is a refused configuration.
type ConfigRefusal struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	Reason  string    `json:"reason"`
}

// PeerStatus is a peer that is suspected, leaving or behind a bad path.
type PeerStatus struct {
	ID      string `json:"id"`
	Suspect bool   `json:"suspect,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Path    string `json:"path,omitempty"`
}

// BackendStatus is a backend server as seen by the leader of its service.
type BackendStatus struct {
	Service string  `json:"service"`
	ID      string  `json:"id"`
	Healthy bool    `json:"healthy"`
	Share   float64 `json:"share"`            // fraction of its normal traffic, 0 to 1
	Reason  string  `json:"reason,omitempty"` // of the last ejection or return
}

// statusRequest collects the status from all stages. The last stage sends it.
type statusRequest struct {
	status *Status
	reply  chan *Status
}

// ControlEvent marks statusRequest as an event.
func (statusRequest) ControlEvent() {}

// Status collects the status from all stages.
func (l *Loop[S]) Status(ctx context.Context) (*Status, error) {
	request := statusRequest{status: &Status{}, reply: make(chan *Status, 1)}
	if err := l.Submit(ctx, request); err != nil {
		return nil, err
	}
	select {
	case s := <-request.reply:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// statusStage is the last stage; it answers status requests.
type statusStage struct {
	state *State
}

// Name returns "status".
func (s *statusStage) Name() string { return "status" }

// Deadline returns the zero time: the stage needs no ticks.
func (s *statusStage) Deadline() time.Time { return time.Time{} }

// Handle adds the shared state to a status request and replies.
func (s *statusStage) Handle(now time.Time, ev Event, _ *Output) {
	request, ok := ev.(statusRequest)
	if !ok {
		return
	}
	st := request.status
	st.Host = s.state.Self.ID
	st.Zone = s.state.Self.Zone
	if s.state.Config != nil {
		st.ConfigVersion = s.state.Config.Version()
	}
	st.KeysTrusted = now.Before(s.state.KeysTrustedUntil)
	st.HostVersion = s.state.HostVersion
	st.Members = len(s.state.Members)
	st.Stopping = s.state.Stopping
	request.reply <- st
}
