package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// crashFleet is a fleet of crashes stages whose messages a test delivers or
// loses.
type crashFleet struct {
	now     time.Time
	stages  map[string]*crashesStage
	lose    func(message any) bool
	sent    map[string]int // spread messages by sender
	longest int            // entries in the longest message
}

func newCrashFleet(size int) *crashFleet {
	f := &crashFleet{
		now:    time.Unix(1_000_000, 0),
		stages: make(map[string]*crashesStage),
		lose:   func(any) bool { return false },
		sent:   make(map[string]int),
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
		newLeasesStage(state).followMembers(f.now)
		f.stages[m.ID] = newCrashesStage(state, rand.New(rand.NewPCG(1, uint64(i))))
	}
	return f
}

// step hands an event to a stage and delivers what it sends, and so on.
func (f *crashFleet) step(id string, ev Event) {
	var out Output
	f.stages[id].Handle(f.now, ev, &out)
	for _, command := range out.commands {
		if call, ok := command.(Call); ok {
			f.deliver(id, call)
		}
	}
}

func (f *crashFleet) deliver(from string, call Call) {
	if spread, ok := call.Message.(quarantine.Gossip); ok {
		f.sent[from]++
		f.longest = max(f.longest, len(spread.Entries))
	}
	if f.lose(call.Message) {
		return
	}
	reply := make(chan any, 1)
	f.step(call.Peer, PeerAsked{From: from, Message: call.Message, Reply: reply})
	answer := <-reply
	if spread, ok := answer.(quarantine.GossipReply); ok {
		f.longest = max(f.longest, len(spread.Entries))
	}
	f.step(from, PeerReplied{Peer: call.Peer, Message: call.Message, Reply: answer})
}

// run gives every stage its ticks for a time.
func (f *crashFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(newsDelay) {
		for id, stage := range f.stages {
			if !f.now.Before(stage.Deadline()) {
				f.step(id, Tick{})
			}
		}
	}
}

func (f *crashFleet) knowing(print quarantine.Fingerprint) int {
	knowing := 0
	for _, stage := range f.stages {
		if stage.state.Quarantine.Lookup(f.now, print).Standing == quarantine.Suspect {
			knowing++
		}
	}
	return knowing
}

func crash(print quarantine.Fingerprint) ExposureEnded {
	return ExposureEnded{Reports: []quarantine.Report{{Fingerprint: print, CrashID: uint64(print)}}}
}

// Guards against a crash that only some processes hear of, against one whose news
// take more than a bounded number of messages, and against standings that are
// sent again and again.
func TestNewsOfACrashReachTheFleet(t *testing.T) {
	f := newCrashFleet(50)
	f.run(10 * newsDelay)
	clear(f.sent)
	f.step("host-0", crash(7))
	f.run(20 * newsDelay)
	if n := f.knowing(7); n < 45 {
		t.Errorf("%d of 50 processes know within %v", n, 20*newsDelay)
	}
	for id, n := range f.sent {
		if n > newsFanout {
			t.Errorf("%s sent %d messages", id, n)
		}
	}
	f.run(10 * exchangeInterval)
	if n := f.knowing(7); n != 50 {
		t.Errorf("%d of 50 processes know after 10 exchanges", n)
	}
	f.longest = 0
	f.run(3 * exchangeInterval)
	if f.longest > 0 {
		t.Errorf("processes that know the same still send up to %d entries", f.longest)
	}
}

// Guards against protection that depends on the keeper or on single messages:
// all reports and all news are lost, and only exchanges arrive.
func TestExchangeRepairsLostNews(t *testing.T) {
	f := newCrashFleet(20)
	f.lose = func(message any) bool {
		spread, ok := message.(quarantine.Gossip)
		return !ok || !spread.Compare
	}
	f.step("host-0", crash(7))
	f.run(20 * exchangeInterval)
	if n := f.knowing(7); n != 20 {
		t.Errorf("%d of 20 processes know after 20 exchanges", n)
	}
}

// Guards against answers that exceed the bound of a message and against a long
// table that a new process never gets whole.
func TestLongTablesAreSentInParts(t *testing.T) {
	f := newCrashFleet(2)
	f.lose = func(message any) bool { _, ok := message.(quarantine.Report); return ok }
	for print := range quarantine.Fingerprint(3 * answerEntries) {
		f.stages["host-0"].tracker.OnReport(f.now, quarantine.Report{Fingerprint: print + 1, CrashID: 1})
	}
	f.run(60 * exchangeInterval)
	known := len(f.stages["host-1"].tracker.Entries(f.now))
	if known != 3*answerEntries || f.longest > answerEntries {
		t.Errorf("%d entries known of %d, the longest message has %d", known, 3*answerEntries, f.longest)
	}
}
