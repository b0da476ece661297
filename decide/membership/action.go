package membership

// Action is something that the caller carries out.
type Action interface{ isAction() }

// SendPing sends a Ping to a member. An Ack goes to OnAck.
type SendPing struct {
	To   string
	Ping Ping
}

// SendPingVia sends a PingVia to each of the peers. An Ack that one of them passes
// on goes to OnAck.
type SendPingVia struct {
	Via     []string
	PingVia PingVia
}

// ForwardAck passes the Ack of a pinged member on to the process that asked for
// the indirect ping. It goes to OnAck there.
type ForwardAck struct {
	To  string
	Ack Ack
}

// SendLeaving sends a Leaving to each of the peers. It goes to OnLeaving there.
type SendLeaving struct {
	To      []string
	Leaving Leaving
}

// Suspected says that a member became suspect.
type Suspected struct{ ID string }

// Cleared says that a member is no longer suspect.
type Cleared struct{ ID string }

// LeftSoon says that a member announced that it leaves; it gets no new work.
type LeftSoon struct{ ID string }

// Returned says that a member that was leaving has started again; it takes new
// work.
type Returned struct{ ID string }

// Changed says that the member set for rendezvous changed with the host list.
type Changed struct{ Version uint64 }

func (SendPing) isAction()    {}
func (SendPingVia) isAction() {}
func (ForwardAck) isAction()  {}
func (SendLeaving) isAction() {}
func (Suspected) isAction()   {}
func (Cleared) isAction()     {}
func (LeftSoon) isAction()    {}
func (Returned) isAction()    {}
func (Changed) isAction()     {}
