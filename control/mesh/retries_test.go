package mesh

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// Guards against more shared retries than the deployment permits: by one owner,
// and by a new one after another.
func TestSharedRetriesKeepToTheirWindow(t *testing.T) {
	now := time.Now()
	p := newRetryPools(Retries{Window: 10 * time.Second, Extra: 40})
	settled := now.Add(-time.Minute)
	granted := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		granted += p.take(at, settled, "roster", notice.ForCallRetry)
	}
	if granted != 40 {
		t.Errorf("%d granted within a window, want 40", granted)
	}
	later := newRetryPools(p.retries)
	if n := later.take(now, now.Add(-time.Second), "roster", notice.ForCallRetry); n != 0 {
		t.Error("a new owner grants although another may have granted all")
	}
	if n := later.take(now.Add(11*time.Second), now, "roster", notice.ForCallRetry); n != 1 {
		t.Error("a new owner grants nothing after a window")
	}
}

// Guards against requests of callers that use up the retries of calls.
func TestCallsHaveRetriesOfTheirOwn(t *testing.T) {
	now := time.Now()
	p := newRetryPools(Retries{Window: 10 * time.Second, Extra: 40})
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

// Guards against shared retries that nobody grants, or several processes: the owner
// does, and a process that cannot reach it gets none.
func TestSharedRetriesComeFromTheirOwner(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("s", "10.0.0.2", 2), server("r", "10.0.0.3", 3)}})
	for _, host := range []string{"10.0.0.2", "10.0.0.3"} {
		p.post(Received{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 1}}})
	}
	p.sent = nil
	reply := make(chan TokenVerdict, 1)
	p.post(TokenWanted{Purpose: notice.ForCallRetry, Service: "roster", Reply: reply})
	var asked *notice.TokenRequest
	for _, send := range p.sent {
		if send.Message.TokenRequest != nil {
			asked = send.Message.TokenRequest
		}
	}
	if asked == nil || asked.Name != "roster" || asked.Purpose != notice.ForCallRetry {
		t.Fatalf("asked %+v", asked)
	}
	p.pass(askTimeout + time.Millisecond)
	if v := <-reply; v.Granted {
		t.Errorf("granted without the owner: %+v", v)
	}
}
