package quota_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

var (
	testStart = time.Unix(1000, 0)
	selfID    = quota.HolderID{Host: "exit", Incarnation: 1}
)

// oneLeader is a Directory that always names the same process.
type oneLeader struct{}

func (oneLeader) Target(uint32) (string, bool)  { return "leader", true }
func (oneLeader) OnLeader(uint32, string)       {}
func (oneLeader) OnMiss(uint32, string, string) {}

// decide enqueues one request and answers every token request until the request is
// decided. Virtual time advances to each NextWake. It returns the decision and the time
// that the request waited.
func decide(t *testing.T, limit quota.Limit, answer func(quota.TokenRequest) (quota.Grant, bool)) (quota.Decision, time.Duration) {
	t.Helper()
	h := quota.NewHolder(selfID, "zone", "team", limit, testStart, oneLeader{})
	if d := h.Enqueue(testStart, 1, testStart.Add(time.Second)); d != quota.Pending {
		return d, 0
	}
	for now := testStart; now.Before(testStart.Add(2 * time.Second)); {
		for {
			req, ok := h.NextTokenRequest(now)
			if !ok {
				break
			}
			if g, answered := answer(req); answered {
				g.Key, g.Holder, g.Seq = req.Key, req.Holder, req.Seq
				h.OnGrant(now, g)
			}
		}
		for _, s := range h.DecideWaiting(now) {
			return s.Decision, now.Sub(testStart)
		}
		next, ok := h.NextWake(now)
		if !ok || !next.After(now) {
			t.Fatalf("at %v NextWake returns %v, %v while a request waits", now.Sub(testStart), next.Sub(testStart), ok)
		}
		now = next
	}
	t.Fatal("the request was never decided")
	return 0, 0
}

// status returns a function that answers every token request with the status and no
// tokens.
func status(s quota.Status) func(quota.TokenRequest) (quota.Grant, bool) {
	return func(quota.TokenRequest) (quota.Grant, bool) {
		return quota.Grant{Status: s, RetryAfter: 250 * time.Millisecond}, true
	}
}

// Guards against "rate exceeded" for a team within its rate: that answer is final for
// the caller, so only leaders may give it. It must come without a wait, and any other
// refusal within 250 ms, so that the process that received the request can try
// elsewhere.
func TestOnlyLeadersSayRateExceeded(t *testing.T) {
	const longest = 250 * time.Millisecond
	partly := func(req quota.TokenRequest) (quota.Grant, bool) {
		return quota.Grant{Status: quota.Empty, RetryAfter: 200 * time.Millisecond}, req.Key.Part != 2
	}
	silent := func(quota.TokenRequest) (quota.Grant, bool) { return quota.Grant{}, false }
	divided, single := quota.Limit{Rate: 100, Burst: 100, Version: 1}, quota.Limit{Rate: 1, Burst: 1, Version: 1}
	for _, c := range []struct {
		name   string
		answer func(quota.TokenRequest) (quota.Grant, bool)
		want   quota.Decision
		least  time.Duration
		most   time.Duration
	}{
		{"all leaders are empty", status(quota.Empty), quota.Refuse, 0, 0},
		{"no process is the leader", status(quota.NotLeader), quota.Unavailable, longest, longest},
		{"no leader knows the limit", status(quota.NoLimit), quota.Unavailable, longest, longest},
		{"no process answers", silent, quota.Unavailable, longest, longest},
		{"a new leader has reduced limits", status(quota.Recovering), quota.Unavailable, longest, longest},
	} {
		for _, limit := range []quota.Limit{divided, single} {
			got, waited := decide(t, limit, c.answer)
			if got != c.want || waited < c.least || waited > c.most {
				t.Errorf("%s, burst %v: decision %d after %v, want %d after %v", c.name, limit.Burst, got, waited, c.want, c.most)
			}
		}
	}
	if got, waited := decide(t, divided, partly); got != quota.Unavailable || waited != longest {
		t.Errorf("the leader of one part is silent: decision %d after %v, want %d after %v", got, waited, quota.Unavailable, longest)
	}
}

// Guards against refusing a request although a leader becomes reachable while the
// request may still wait.
func TestRequestWaitsForALeader(t *testing.T) {
	requests := 0
	got, waited := decide(t, quota.Limit{Rate: 1, Burst: 1, Version: 1}, func(quota.TokenRequest) (quota.Grant, bool) {
		requests++
		if requests <= 12 {
			return quota.Grant{Status: quota.NotLeader}, true
		}
		return quota.Grant{Tokens: 1}, true
	})
	if got != quota.Admit || waited == 0 {
		t.Errorf("decision %d after %v and %d token requests, want %d after a wait", got, waited, requests, quota.Admit)
	}
}

// Guards against a token that is spent after its grant expired, in a process that
// reads the clock and is paused before it spends.
func TestExpiryIsCheckedAtUse(t *testing.T) {
	h := quota.NewHolder(selfID, "zone", "team", quota.Limit{Rate: 1, Burst: 1, Version: 1}, testStart, oneLeader{})
	h.Enqueue(testStart, 1, testStart.Add(time.Second))
	req, ok := h.NextTokenRequest(testStart)
	if !ok {
		t.Fatal("no token request for a request that waits")
	}
	h.OnGrant(testStart, quota.Grant{Key: req.Key, Holder: req.Holder, Seq: req.Seq, Tokens: 1})
	if h.TokenCache().Unspent(testStart.Add(req.TTL)) != 0 || h.Take(testStart.Add(req.TTL)) == quota.Admit {
		t.Error("a token was spent after its grant expired")
	}
	readings := []time.Time{testStart, testStart.Add(req.TTL)}
	clock := func() time.Time {
		now := readings[0]
		readings = readings[1:]
		return now
	}
	if h.TokenCache().TakeChecked(clock) == quota.Admit {
		t.Error("a token was spent after a pause in which its grant expired")
	}
}

// Guards against refusing a request as over the rate although its leader will have the
// next token within the time that the request may wait.
func TestRequestWaitsForTheNextToken(t *testing.T) {
	requests := 0
	got, waited := decide(t, quota.Limit{Rate: 10, Burst: 1, Version: 1}, func(quota.TokenRequest) (quota.Grant, bool) {
		requests++
		if requests == 1 {
			return quota.Grant{Status: quota.Empty, RetryAfter: 100 * time.Millisecond}, true
		}
		return quota.Grant{Tokens: 1}, true
	})
	if got != quota.Admit || waited != 100*time.Millisecond {
		t.Errorf("decision %d after %v, want %d after 100ms", got, waited, quota.Admit)
	}
}

// Guards against requesting a second token for a request whose grant has arrived but
// which is not decided yet: most such tokens expire unspent.
func TestAvailableTokensAreNotRequestedAgain(t *testing.T) {
	h := quota.NewHolder(selfID, "zone", "team", quota.Limit{Rate: 100, Burst: 100, Version: 1}, testStart, oneLeader{})
	h.Enqueue(testStart, 1, testStart.Add(time.Second))
	req, _ := h.NextTokenRequest(testStart)
	h.OnGrant(testStart, quota.Grant{Key: req.Key, Holder: req.Holder, Seq: req.Seq, Tokens: req.Need})
	if again, ok := h.NextTokenRequest(testStart); ok {
		t.Errorf("%d more tokens were requested", again.Need)
	}
}
