package lease

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func hosts(names string) []rendezvous.Member {
	var members []rendezvous.Member
	for _, name := range names {
		members = append(members, rendezvous.Member{ID: string(name)})
	}
	return members
}

func candidate(names string) (*Candidate, *Placement) {
	p := NewPlacement(hosts(names))
	return NewCandidate(CandidateID{Host: names[:1]}, epoch, p, nil), p
}

// promiseAll answers the messages of a Tick as if all witnesses promised.
func promiseAll(c *Candidate, requests []PromiseRequest, now time.Time) {
	for _, r := range requests {
		c.OnReply(now, PromiseReply{Witness: r.Witness, Candidate: r.Candidate, Sent: r.Sent, Promised: r.Shards})
	}
}

// Guards against clocks that differ by 2%: the witness must outlast the
// candidate, the silence of a new process its predecessor's promises, and a
// tenure the grants of the tenure before it.
func TestDriftMargins(t *testing.T) {
	const drift = 1.02
	if HoldTime.Seconds()*drift >= Term.Seconds() {
		t.Errorf("a candidate counts on a promise for %v, longer than the witness keeps it", HoldTime)
	}
	if StartSilence.Seconds() < Term.Seconds()*drift {
		t.Errorf("a new witness promises after %v while older promises run", StartSilence)
	}
	if MinTenure.Seconds() < 1*drift*drift {
		t.Errorf("tenures follow each other within %v while grants of 1 s run", MinTenure)
	}
}

// Guards against a hold that is counted from the reply: the witness counts from
// the receipt, which may have been long before.
func TestHoldCountsFromSending(t *testing.T) {
	c, _ := candidate("a")
	asked := c.Tick(at(0))
	promiseAll(c, asked, at(800*time.Millisecond))
	if !c.Holds(at(HoldTime-1), 0) {
		t.Error("the shard is not held although a quorum promised")
	}
	if c.Holds(at(HoldTime+1), 0) {
		t.Error("the shard is held longer than HoldTime after the request")
	}
}

// Guards against a tenure that ends, or is released, before the grants of the
// tenure before it have lapsed.
func TestNoTenureShorterThanMinTenure(t *testing.T) {
	c, _ := candidate("a")
	asked := c.Tick(at(0))
	promiseAll(c, asked, at(HoldTime-MinTenure+time.Millisecond))
	if c.Holds(at(HoldTime-MinTenure+2*time.Millisecond), 0) {
		t.Error("a tenure started with less than MinTenure left")
	}
	c, _ = candidate("a")
	promiseAll(c, c.Tick(at(0)), at(0))
	if _, ok := c.Release(at(MinTenure-1), 0, ""); ok {
		t.Error("a tenure was released before MinTenure")
	}
	if _, ok := c.Release(at(MinTenure), 0, ""); !ok || c.Holds(at(MinTenure), 0) {
		t.Error("a tenure was not released after MinTenure")
	}
}

// Guards against promises of hosts that are no longer witnesses: their quorum
// need not meet a quorum of the present ones.
func TestFormerWitnessesDoNotCount(t *testing.T) {
	c, p := candidate("abcde")
	promiseAll(c, c.Tick(at(0)), at(0))
	if len(c.Held(at(1))) == 0 {
		t.Fatal("no shard is held although all witnesses promised")
	}
	p.SetMembers(hosts("axyzw"))
	c.MembersChanged(at(1))
	if held := c.Held(at(1)); len(held) != 0 {
		t.Errorf("%d shards are held by promises of former witnesses", len(held))
	}
}
