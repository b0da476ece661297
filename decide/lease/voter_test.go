package lease

import (
	"slices"
	"testing"
	"time"
)

func shardRequest(host string, sent time.Duration) PromiseRequest {
	return PromiseRequest{Voter: "v", Candidate: CandidateID{Host: host}, Sent: sent, Shards: []uint32{3}}
}

func promised(r PromiseReply) bool {
	return slices.Contains(r.Promised, 3)
}

// Guards against a promise that the candidate loses because a relay delivers its
// request twice and the second copy is refused, and against a second copy that
// extends the promise or restores a released one.
func TestDuplicateRequestIsPromisedAgain(t *testing.T) {
	v := NewVoter("v", testStart)
	start := at(VoterStartupDelay)
	request := shardRequest("a", time.Second)
	if !promised(v.Promise(start, request)) {
		t.Fatal("the first request was refused")
	}
	if !promised(v.Promise(start.Add(time.Second), request)) {
		t.Error("the second copy of the request was refused")
	}
	if promised(v.Promise(start.Add(time.Second), shardRequest("a", time.Second-1))) {
		t.Error("an older request was promised")
	}
	if promised(v.Promise(start.Add(time.Second), shardRequest("b", time.Second))) {
		t.Error("another candidate was promised the shard because its Sent is equal")
	}
	if promised(v.Promise(start.Add(PromiseTerm), request)) {
		t.Error("a copy of the request was promised after the promise expired")
	}
	if !promised(v.Promise(start.Add(PromiseTerm), shardRequest("b", 1))) {
		t.Error("a copy of the request extended the promise")
	}

	v = NewVoter("v", testStart)
	v.Promise(start, request)
	v.Release(start, Release{Candidate: request.Candidate, Sent: request.Sent + 1, Drops: []Drop{{Shard: 3}}})
	if promised(v.Promise(start, request)) {
		t.Error("a copy of the request restored a released promise")
	}
}

// Guards against a handover that is delayed by a whole renewal interval because
// the successor's request reached a voter before the leader's release.
func TestHandoverRequestIsRetriedSoon(t *testing.T) {
	c, _ := newTestCandidate("ab")
	c.MembersChanged(at(0))
	c.OnReply(at(0), PromiseReply{Candidate: c.id, Refused: []Refusal{{Shard: 0, Leader: "b"}}})
	if requests := countRequests(c.Tick(at(0)), 0); requests != 0 {
		t.Fatalf("%d requests for a shard with a leader", requests)
	}
	c.ExpectHandover(at(0), 0)
	if requests := countRequests(c.Tick(at(0)), 0); requests != 2 {
		t.Fatalf("a candidate that expects a handover sent requests to %d of 2 voters", requests)
	}
	c.OnReply(at(time.Millisecond), PromiseReply{Candidate: c.id, Refused: []Refusal{{Shard: 0, Leader: "b"}}})
	if !c.HandoverPending(at(time.Millisecond)) {
		t.Error("a refusal ended the pending handover")
	}
	again := c.Tick(at(HandoverRetryInterval))
	if requests := countRequests(again, 0); requests != 2 {
		t.Fatalf("%d of 2 voters got another request after HandoverRetryInterval", requests)
	}
	promiseAll(c, again, at(HandoverRetryInterval))
	if !c.Holds(at(HandoverRetryInterval), 0) || c.HandoverPending(at(HandoverRetryInterval)) {
		t.Error("the shard is not held, or its handover is still pending, after all promised")
	}
}

// countRequests returns how many requests include the shard.
func countRequests(requests []PromiseRequest, shard uint32) int {
	n := 0
	for _, r := range requests {
		if slices.Contains(r.Shards, shard) {
			n++
		}
	}
	return n
}

// Guards against a process that accepts traffic because a candidate requested a
// shard from it, although no candidate has a quorum yet.
func TestPromiseIsRenewedOnlyBySecondRequest(t *testing.T) {
	v := NewVoter("v", testStart)
	start := at(VoterStartupDelay)
	v.Promise(start, shardRequest("a", time.Second))
	if v.PromiseRenewed(start, 3) {
		t.Error("renewed after the first request")
	}
	v.Release(start, Release{Candidate: CandidateID{Host: "a"}, Sent: time.Second + 1, Drops: []Drop{{Shard: 3}}})
	v.Promise(start, shardRequest("a", time.Second+2))
	if v.PromiseRenewed(start, 3) {
		t.Error("renewed although the candidate dropped the shard in between")
	}
	v.Promise(start.Add(RenewInterval), shardRequest("a", time.Second+RenewInterval))
	if !v.PromiseRenewed(start.Add(RenewInterval), 3) || v.PromiseRenewed(start.Add(RenewInterval+PromiseTerm), 3) {
		t.Error("a promise must count as renewed until it expires")
	}
}
