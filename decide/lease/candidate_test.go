package lease

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

var testStart = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

func hosts(names string) []rendezvous.Member {
	var members []rendezvous.Member
	for _, name := range names {
		members = append(members, rendezvous.Member{ID: string(name)})
	}
	return members
}

func newTestCandidate(names string) (*Candidate, *Placement) {
	p := NewPlacement(hosts(names))
	return NewCandidate(CandidateID{Host: names[:1]}, testStart, p, nil), p
}

// promiseAll answers the requests of a Tick with promises of all voters.
func promiseAll(c *Candidate, requests []PromiseRequest, now time.Time) {
	for _, r := range requests {
		c.OnReply(now, PromiseReply{Voter: r.Voter, Candidate: r.Candidate, Sent: r.Sent, Promised: r.Shards})
	}
}

// Guards against margins that do not cover clock rates that differ by 2%: a promise
// must last longer at the voter than at the candidate, a new voter must wait
// until its predecessor's promises have expired, and MinTenure must exceed the
// lifetime of grants.
func TestMarginsCoverClockDrift(t *testing.T) {
	const drift = 1.02
	if CandidateTerm.Seconds()*drift >= PromiseTerm.Seconds() {
		t.Errorf("a candidate counts on a promise for %v, longer than the voter keeps it", CandidateTerm)
	}
	if VoterStartupDelay.Seconds() < PromiseTerm.Seconds()*drift {
		t.Errorf("a new voter promises after %v while older promises run", VoterStartupDelay)
	}
	if MinTenure.Seconds() < 1*drift*drift {
		t.Errorf("tenures follow each other within %v while grants of 1 s run", MinTenure)
	}
}

// Guards against a tenure that is counted from the reply: the voter counts from
// the receipt of the request, which may have been much earlier.
func TestTenureCountsFromRequestTime(t *testing.T) {
	c, _ := newTestCandidate("a")
	requests := c.Tick(at(0))
	promiseAll(c, requests, at(800*time.Millisecond))
	if !c.Holds(at(CandidateTerm-1), 0) {
		t.Error("the shard is not held although a quorum promised")
	}
	if c.Holds(at(CandidateTerm+1), 0) {
		t.Error("the shard is held longer than CandidateTerm after the request")
	}
}

// Guards against a tenure that can end, or be released, before the grants of the
// previous tenure have expired.
func TestNoTenureShorterThanMinTenure(t *testing.T) {
	c, _ := newTestCandidate("a")
	requests := c.Tick(at(0))
	promiseAll(c, requests, at(CandidateTerm-MinTenure+time.Millisecond))
	if c.Holds(at(CandidateTerm-MinTenure+2*time.Millisecond), 0) {
		t.Error("a tenure started with less than MinTenure left")
	}
	c, _ = newTestCandidate("a")
	promiseAll(c, c.Tick(at(0)), at(0))
	if _, ok := c.Release(at(MinTenure-1), 0, ""); ok {
		t.Error("a tenure was released before MinTenure")
	}
	if _, ok := c.Release(at(MinTenure), 0, ""); !ok || c.Holds(at(MinTenure), 0) {
		t.Error("a tenure was not released after MinTenure")
	}
}

// Guards against counting promises of hosts that are no longer voters: a quorum
// of them need not intersect a quorum of the current voters.
func TestPromisesOfFormerVotersDoNotCount(t *testing.T) {
	c, p := newTestCandidate("abcde")
	promiseAll(c, c.Tick(at(0)), at(0))
	if len(c.HeldShards(at(1))) == 0 {
		t.Fatal("no shard is held although all voters promised")
	}
	p.SetMembers(hosts("axyzw"))
	c.MembersChanged(at(1))
	if held := c.HeldShards(at(1)); len(held) != 0 {
		t.Errorf("%d shards are held by promises of former voters", len(held))
	}
}
