package lease

import (
	"slices"
	"testing"
	"time"
)

func ask(host string, sent time.Duration) PromiseRequest {
	return PromiseRequest{Witness: "w", Candidate: CandidateID{Host: host}, Sent: sent, Shards: []uint32{3}}
}

func promised(r PromiseReply) bool {
	return slices.Contains(r.Promised, 3)
}

// Guards against a vote that is lost because a relay delivers the request twice
// and the refusal of the second copy arrives, and against a second copy that
// prolongs the promise or brings a released one back.
func TestRepeatedRequestIsPromisedAgain(t *testing.T) {
	w := NewWitness("w", epoch)
	start := at(StartSilence)
	request := ask("a", time.Second)
	if !promised(w.Promise(start, request)) {
		t.Fatal("the first request was refused")
	}
	if !promised(w.Promise(start.Add(time.Second), request)) {
		t.Error("the second copy of the request was refused")
	}
	if promised(w.Promise(start.Add(time.Second), ask("a", time.Second-1))) {
		t.Error("an older request was promised")
	}
	if promised(w.Promise(start.Add(time.Second), ask("b", time.Second))) {
		t.Error("another candidate was promised the shard because its Sent is equal")
	}
	if promised(w.Promise(start.Add(Term), request)) {
		t.Error("a copy of the request was promised after the promise lapsed")
	}
	if !promised(w.Promise(start.Add(Term), ask("b", 1))) {
		t.Error("a copy of the request prolonged the promise")
	}

	w = NewWitness("w", epoch)
	w.Promise(start, request)
	w.Release(start, Release{Candidate: request.Candidate, Sent: request.Sent + 1, Drops: []Drop{{Shard: 3}}})
	if promised(w.Promise(start, request)) {
		t.Error("a copy of the request brought a released promise back")
	}
}

// Guards against a handover that stalls for a whole renewal interval because the
// successor's request reached a witness before the keeper's release.
func TestInvitedCandidateAsksAgainSoon(t *testing.T) {
	c, _ := candidate("ab")
	c.MembersChanged(at(0))
	c.OnReply(at(0), PromiseReply{Candidate: c.id, Refused: []Refused{{Shard: 0, Keeper: "b"}}})
	if asks := shardAsked(c.Tick(at(0)), 0); asks != 0 {
		t.Fatalf("%d asks for a shard with a keeper", asks)
	}
	c.Invite(at(0), 0)
	if asks := shardAsked(c.Tick(at(0)), 0); asks != 2 {
		t.Fatalf("an invited candidate asked %d of 2 witnesses", asks)
	}
	c.OnReply(at(time.Millisecond), PromiseReply{Candidate: c.id, Refused: []Refused{{Shard: 0, Keeper: "b"}}})
	if !c.Invited(at(time.Millisecond)) {
		t.Error("the invitation ended with a refusal")
	}
	again := c.Tick(at(InviteRetry))
	if asks := shardAsked(again, 0); asks != 2 {
		t.Fatalf("%d of 2 witnesses were asked again after InviteRetry", asks)
	}
	promiseAll(c, again, at(InviteRetry))
	if !c.Holds(at(InviteRetry), 0) || c.Invited(at(InviteRetry)) {
		t.Error("the shard is not held, or still counts as handed over, after all promised")
	}
}

func shardAsked(requests []PromiseRequest, shard uint32) int {
	n := 0
	for _, r := range requests {
		if slices.Contains(r.Shards, shard) {
			n++
		}
	}
	return n
}

// Guards against a process that takes callers because a candidate asked it for a
// shard, although no candidate has a quorum yet.
func TestShardIsKeptOnceItsPromiseIsRenewed(t *testing.T) {
	w := NewWitness("w", epoch)
	start := at(StartSilence)
	w.Promise(start, ask("a", time.Second))
	if w.Kept(start, 3) {
		t.Error("kept after the first request")
	}
	w.Release(start, Release{Candidate: CandidateID{Host: "a"}, Sent: time.Second + 1, Drops: []Drop{{Shard: 3}}})
	w.Promise(start, ask("a", time.Second+2))
	if w.Kept(start, 3) {
		t.Error("kept although the candidate gave up in between")
	}
	w.Promise(start.Add(RenewInterval), ask("a", time.Second+RenewInterval))
	if !w.Kept(start.Add(RenewInterval), 3) || w.Kept(start.Add(RenewInterval+Term), 3) {
		t.Error("a renewed promise must count until it lapses")
	}
}
