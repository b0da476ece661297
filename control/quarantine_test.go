package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// quarantineFleet is a set of quarantine stages that exchange messages. A test
// can drop messages.
type quarantineFleet struct {
	now        time.Time
	stages     map[string]*quarantineStage
	isLost     func(message any) bool
	gossipSent map[string]int // gossip messages by sender
	maxEntries int            // entries in the largest message
}

func newQuarantineFleet(size int) *quarantineFleet {
	f := &quarantineFleet{
		now:        time.Unix(1_000_000, 0),
		stages:     make(map[string]*quarantineStage),
		isLost:     func(any) bool { return false },
		gossipSent: make(map[string]int),
	}
	hosts := make(map[string]Host)
	var members []rendezvous.Member
	for i := range size {
		id := fmt.Sprintf("host-%d", i)
		hosts[id] = Host{ID: id}
		members = append(members, rendezvous.Member{ID: id})
	}
	for i, m := range members {
		state := NewState(Self{ID: m.ID, Started: f.now})
		state.Hosts, state.Members, state.HostVersion = hosts, members, 1
		newLeasesStage(state).updateMembers(f.now)
		f.stages[m.ID] = newQuarantineStage(state, rand.New(rand.NewPCG(1, uint64(i))))
	}
	return f
}

// step passes an event to a stage and delivers the messages that it sends.
func (f *quarantineFleet) step(id string, ev Event) {
	var out Output
	f.stages[id].Handle(f.now, ev, &out)
	for _, command := range out.commands {
		if call, ok := command.(Call); ok {
			f.deliver(id, call)
		}
	}
}

func (f *quarantineFleet) deliver(from string, call Call) {
	if gossip, ok := call.Message.(quarantine.Gossip); ok {
		f.gossipSent[from]++
		f.maxEntries = max(f.maxEntries, len(gossip.Entries))
	}
	if f.isLost(call.Message) {
		return
	}
	reply := make(chan any, 1)
	f.step(call.Peer, PeerRequest{From: from, Message: call.Message, Reply: reply})
	response := <-reply
	if gossip, ok := response.(quarantine.GossipReply); ok {
		f.maxEntries = max(f.maxEntries, len(gossip.Entries))
	}
	f.step(from, PeerResponse{Peer: call.Peer, Message: call.Message, Reply: response})
}

// run advances the time by d and sends ticks to the stages that are due.
func (f *quarantineFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(gossipDelay) {
		for id, stage := range f.stages {
			if !f.now.Before(stage.Deadline()) {
				f.step(id, Tick{})
			}
		}
	}
}

func (f *quarantineFleet) countSuspecting(fingerprint quarantine.Fingerprint) int {
	count := 0
	for _, stage := range f.stages {
		if stage.state.Quarantine.Lookup(f.now, fingerprint).Standing == quarantine.Suspect {
			count++
		}
	}
	return count
}

func crashReport(fingerprint quarantine.Fingerprint) QuarantineReported {
	return QuarantineReported{Reports: []quarantine.Report{{Fingerprint: fingerprint, CrashID: uint64(fingerprint)}}}
}

// Guards against a crash that only some processes learn of, against an unbounded
// number of gossip messages per crash, and against entries that are sent again to
// peers that have them.
func TestGossipOfACrashReachesTheFleet(t *testing.T) {
	f := newQuarantineFleet(50)
	f.run(10 * gossipDelay)
	clear(f.gossipSent)
	f.step("host-0", crashReport(7))
	f.run(20 * gossipDelay)
	if n := f.countSuspecting(7); n < 45 {
		t.Errorf("%d of 50 processes know within %v", n, 20*gossipDelay)
	}
	for id, n := range f.gossipSent {
		if n > gossipFanout {
			t.Errorf("%s sent %d messages", id, n)
		}
	}
	f.run(10 * exchangeInterval)
	if n := f.countSuspecting(7); n != 50 {
		t.Errorf("%d of 50 processes know after 10 exchanges", n)
	}
	f.maxEntries = 0
	f.run(3 * exchangeInterval)
	if f.maxEntries > 0 {
		t.Errorf("processes with equal tables still send up to %d entries", f.maxEntries)
	}
}

// Guards against protection that depends on the leader or on single messages: all
// reports and gossip messages are lost, and only digest exchanges arrive.
func TestExchangeRepairsLostGossip(t *testing.T) {
	f := newQuarantineFleet(20)
	f.isLost = func(message any) bool {
		gossip, ok := message.(quarantine.Gossip)
		return !ok || !gossip.Compare
	}
	f.step("host-0", crashReport(7))
	f.run(20 * exchangeInterval)
	if n := f.countSuspecting(7); n != 20 {
		t.Errorf("%d of 20 processes know after 20 exchanges", n)
	}
}

// Guards against replies with more than maxReplyEntries entries and against a long
// table that a new process never receives completely.
func TestLongTablesAreSentInParts(t *testing.T) {
	f := newQuarantineFleet(2)
	f.isLost = func(message any) bool { _, ok := message.(quarantine.Report); return ok }
	for fingerprint := range quarantine.Fingerprint(3 * maxReplyEntries) {
		f.stages["host-0"].tracker.OnReport(f.now, quarantine.Report{Fingerprint: fingerprint + 1, CrashID: 1})
	}
	f.run(60 * exchangeInterval)
	known := len(f.stages["host-1"].tracker.Entries(f.now))
	if known != 3*maxReplyEntries || f.maxEntries > maxReplyEntries {
		t.Errorf("%d entries known of %d, the largest message has %d", known, 3*maxReplyEntries, f.maxEntries)
	}
}
