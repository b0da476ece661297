package mesh

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Guards against more shared retries per window than configured, from one owner or
// from two owners in succession.
func TestSharedRetriesStayWithinTheWindowLimit(t *testing.T) {
	now := time.Now()
	p := newRetryPools(SharedRetries{Window: 10 * time.Second, MaxPerWindow: 40})
	ownersChangedAt := now.Add(-time.Minute)
	granted := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		granted += p.take(at, ownersChangedAt, "roster", notice.ForCallRetry)
	}
	if granted != 40 {
		t.Errorf("%d granted within a window, want 40", granted)
	}
	newOwner := newRetryPools(p.limit)
	if n := newOwner.take(now, now.Add(-time.Second), "roster", notice.ForCallRetry); n != 0 {
		t.Error("a new owner grants although the previous one may have granted all")
	}
	if n := newOwner.take(now.Add(11*time.Second), now, "roster", notice.ForCallRetry); n != 1 {
		t.Error("a new owner grants nothing after a window")
	}
}

// Guards against retries for callers that use up the retries reserved for calls of
// backend servers.
func TestCallerRetriesLeaveTheReserveForCalls(t *testing.T) {
	now := time.Now()
	p := newRetryPools(SharedRetries{Window: 10 * time.Second, MaxPerWindow: 40})
	granted := map[notice.Purpose]int{}
	for range 100 {
		granted[notice.ForCallerRetry] += p.take(now, now.Add(-time.Minute), "roster", notice.ForCallerRetry)
	}
	for range 100 {
		granted[notice.ForCallRetry] += p.take(now, now.Add(-time.Minute), "roster", notice.ForCallRetry)
	}
	if granted[notice.ForCallerRetry] > 21 || granted[notice.ForCallRetry] < 19 {
		t.Errorf("granted %v of 40", granted)
	}
}

// Guards against calls of retried requests that exceed the fixed number of retries, or that
// others spend first.
func TestCallsOfRetriedRequestsOverdrawUpToTheFixedNumber(t *testing.T) {
	now := time.Now()
	p := newRetryPools(SharedRetries{Window: 10 * time.Second, MaxPerWindow: 30, CallOverdraft: 10})
	granted := map[notice.Purpose]int{}
	for range 100 {
		granted[notice.ForCallRetry] += p.take(now, now.Add(-time.Minute), "roster", notice.ForCallRetry)
	}
	for range 100 {
		granted[notice.ForCallOfRetry] += p.take(now, now.Add(-time.Minute), "roster", notice.ForCallOfRetry)
	}
	if granted[notice.ForCallRetry] != 30 || granted[notice.ForCallOfRetry] != 10 {
		t.Errorf("granted %v of 30 and 10", granted)
	}
}

// Guards against shared retries that nobody grants or that several processes grant:
// only the owner does, and a process that gets no answer from it refuses the retry.
func TestSharedRetriesAreGrantedByTheOwnerOnly(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 2), newServer("r", "10.0.0.3", 3)}})
	for _, host := range []string{"10.0.0.2", "10.0.0.3"} {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: 1}}})
	}
	p.sent = nil
	reply := make(chan TokenDecision, 1)
	p.post(TokenRequest{Purpose: notice.ForCallRetry, Service: "roster", Reply: reply})
	var request *notice.TokenRequest
	for _, send := range p.sent {
		if send.Message.TokenRequest != nil {
			request = send.Message.TokenRequest
		}
	}
	if request == nil || request.Name != "roster" || request.Purpose != notice.ForCallRetry {
		t.Fatalf("token request %+v", request)
	}
	p.advance(tokenRequestTimeout + time.Millisecond)
	if v := <-reply; v.Granted {
		t.Errorf("granted without the owner: %+v", v)
	}
}
