// Package membership decides who is in the fleet. It merges the platform's host
// list, which lags, with direct evidence in the manner of SWIM (Das, Gupta and
// Motivala, 2002): pings to random peers, indirect pings before suspicion, and
// refutation by a higher incarnation.
//
// The member set for rendezvous comes from the host list alone. Suspicion changes
// only the order in which members are tried, so that a false alarm moves no keeper.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// Options configure a Table.
type Options struct {
	Self        string
	Incarnation uint64     // larger than in earlier lives of the process, such as its start in Unix ms
	Rand        *rand.Rand // source of random choices; required
}

// View is what other decisions use.
type View struct {
	Version uint64              // of the host list
	Members []rendezvous.Member // host list without the hosts that it says are leaving, sorted by ID
	Suspect map[string]bool     // members to try last
	Leaving map[string]bool     // members that get no new work, by the host list or by their own word
}

// Table holds what one process knows of the others.
type Table struct{}

// New returns a Table that knows nobody.
func New(o Options) *Table { return nil }

// OnHostList takes a host list of the platform.
func (t *Table) OnHostList(now time.Time, l HostList) []Action { return nil }

// OnPing takes a ping and returns the answer. ok is false if the ping is for
// another process, which must not be answered.
func (t *Table) OnPing(now time.Time, p Ping) (ack Ack, ok bool, actions []Action) {
	return Ack{}, false, nil
}

// OnAck takes the answer to a ping, direct or passed on by a peer.
func (t *Table) OnAck(now time.Time, a Ack) []Action { return nil }

// OnPingVia takes a peer's request for an indirect ping.
func (t *Table) OnPingVia(now time.Time, p PingVia) []Action { return nil }

// OnLeaving takes a member's announcement that it leaves.
func (t *Table) OnLeaving(now time.Time, l Leaving) []Action { return nil }

// OnHeard takes other direct evidence that a member answers, such as a reply to
// another control message.
func (t *Table) OnHeard(now time.Time, id string) []Action { return nil }

// Leave announces to all members that this process leaves.
func (t *Table) Leave(now time.Time) []Action { return nil }

// Tick returns what is due.
func (t *Table) Tick(now time.Time) []Action { return nil }

// Next returns the time at which Tick is to be called next.
func (t *Table) Next() time.Time { return time.Time{} }

// View returns a copy of what is known.
func (t *Table) View() View { return View{} }
