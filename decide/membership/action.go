package membership

// Action is an effect that the caller must carry out.
type Action interface{ isAction() }

// SendPing sends a Ping to a member. The caller passes the Ack to OnAck.
type SendPing struct {
	To   string
	Ping Ping
}

// SendPingVia sends a PingVia to each of the peers. The caller passes an Ack that one
// of them forwards to OnAck.
type SendPingVia struct {
	Via     []string
	PingVia PingVia
}

// ForwardAck forwards the Ack of a pinged member to the process that requested the
// indirect ping. The receiver passes it to OnAck.
type ForwardAck struct {
	To  string
	Ack Ack
}

// SendLeaving sends a Leaving to each of the peers. The receivers pass it to
// OnLeaving.
type SendLeaving struct {
	To      []string
	Leaving Leaving
}

// MemberSuspected reports that a member became suspect.
type MemberSuspected struct{ ID string }

// SuspicionCleared reports that a member is no longer suspect.
type SuspicionCleared struct{ ID string }

// MemberLeaving reports that a member announced that it is leaving. It gets no new
// work.
type MemberLeaving struct{ ID string }

// MemberReturned reports that a member that was leaving has restarted. It accepts new
// work.
type MemberReturned struct{ ID string }

// MembersChanged reports that a new host list changed the members for rendezvous
// hashing.
type MembersChanged struct{ Version uint64 }

func (SendPing) isAction()         {}
func (SendPingVia) isAction()      {}
func (ForwardAck) isAction()       {}
func (SendLeaving) isAction()      {}
func (MemberSuspected) isAction()  {}
func (SuspicionCleared) isAction() {}
func (MemberLeaving) isAction()    {}
func (MemberReturned) isAction()   {}
func (MembersChanged) isAction()   {}
