package quota_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

var (
	began  = time.Unix(1000, 0)
	selfID = quota.HolderID{Host: "exit", Incarnation: 1}
)

// oneKeeper is a Directory that always names the same process.
type oneKeeper struct{}

func (oneKeeper) Target(uint32) (string, bool)  { return "keeper", true }
func (oneKeeper) OnKeeper(uint32, string)       {}
func (oneKeeper) OnMiss(uint32, string, string) {}

// decide joins a request and answers every ask until the request is
// decided, in steps of virtual time as Wake asks for.
func decide(t *testing.T, limit quota.Limit, answer func(quota.Ask) (quota.Grant, bool)) (quota.Decision, time.Duration) {
	t.Helper()
	h := quota.NewHolder(selfID, "zone", "team", limit, began, oneKeeper{})
	if d := h.Join(began, 1, began.Add(time.Second)); d != quota.AskFirst {
		return d, 0
	}
	for now := began; now.Before(began.Add(2 * time.Second)); {
		for {
			ask, ok := h.NeedAsk(now)
			if !ok {
				break
			}
			if g, answered := answer(ask); answered {
				g.Key, g.Holder, g.Seq = ask.Key, ask.Holder, ask.Seq
				h.OnGrant(now, g)
			}
		}
		for _, s := range h.Settle(now) {
			return s.Decision, now.Sub(began)
		}
		next, ok := h.Wake(now)
		if !ok || !next.After(now) {
			t.Fatalf("at %v Wake returns %v, %v while a request waits", now.Sub(began), next.Sub(began), ok)
		}
		now = next
	}
	t.Fatal("the request was never decided")
	return 0, 0
}

func status(s quota.Status) func(quota.Ask) (quota.Grant, bool) {
	return func(quota.Ask) (quota.Grant, bool) {
		return quota.Grant{Status: s, RetryAfter: 250 * time.Millisecond}, true
	}
}

// Guards against "rate exceeded" for a team within its rate: that answer is final
// for the caller, so only keepers may give it. It must come without a wait, and
// anything else within 250 ms, so that the entry can try elsewhere.
func TestOnlyKeepersSayRateExceeded(t *testing.T) {
	const longest = 250 * time.Millisecond
	partly := func(ask quota.Ask) (quota.Grant, bool) {
		return quota.Grant{Status: quota.Empty, RetryAfter: 200 * time.Millisecond}, ask.Key.Part != 2
	}
	silent := func(quota.Ask) (quota.Grant, bool) { return quota.Grant{}, false }
	divided, single := quota.Limit{Rate: 100, Burst: 100, Version: 1}, quota.Limit{Rate: 1, Burst: 1, Version: 1}
	for _, c := range []struct {
		name   string
		answer func(quota.Ask) (quota.Grant, bool)
		want   quota.Decision
		least  time.Duration
		most   time.Duration
	}{
		{"all keepers are empty", status(quota.Empty), quota.Refuse, 0, 0},
		{"no process is the keeper", status(quota.NotKeeper), quota.Unavailable, longest, longest},
		{"no keeper knows the limit", status(quota.NoLimit), quota.Unavailable, longest, longest},
		{"no process answers", silent, quota.Unavailable, longest, longest},
		{"a new keeper holds back", status(quota.Recovering), quota.Unavailable, longest, longest},
	} {
		for _, limit := range []quota.Limit{divided, single} {
			got, waited := decide(t, limit, c.answer)
			if got != c.want || waited < c.least || waited > c.most {
				t.Errorf("%s, burst %v: decision %d after %v, want %d after %v", c.name, limit.Burst, got, waited, c.want, c.most)
			}
		}
	}
	if got, waited := decide(t, divided, partly); got != quota.Unavailable || waited != longest {
		t.Errorf("the keeper of one part is silent: decision %d after %v, want %d after %v", got, waited, quota.Unavailable, longest)
	}
}

// Guards against a request that is refused although the keeper comes back while
// it may still wait.
func TestRequestWaitsForAKeeper(t *testing.T) {
	asks := 0
	got, waited := decide(t, quota.Limit{Rate: 1, Burst: 1, Version: 1}, func(quota.Ask) (quota.Grant, bool) {
		asks++
		if asks <= 12 {
			return quota.Grant{Status: quota.NotKeeper}, true
		}
		return quota.Grant{Tokens: 1}, true
	})
	if got != quota.Admit || waited == 0 {
		t.Errorf("decision %d after %v and %d asks, want %d after a wait", got, waited, asks, quota.Admit)
	}
}

// Guards against a token spent after the grant expired, in a process that reads
// the clock and is paused before it spends.
func TestExpiryIsCheckedAtUse(t *testing.T) {
	h := quota.NewHolder(selfID, "zone", "team", quota.Limit{Rate: 1, Burst: 1, Version: 1}, began, oneKeeper{})
	h.Join(began, 1, began.Add(time.Second))
	ask, ok := h.NeedAsk(began)
	if !ok {
		t.Fatal("no ask for a request that waits")
	}
	h.OnGrant(began, quota.Grant{Key: ask.Key, Holder: ask.Holder, Seq: ask.Seq, Tokens: 1})
	if h.Share().Left(began.Add(ask.TTL)) != 0 || h.Take(began.Add(ask.TTL)) == quota.Admit {
		t.Error("a token was spent after its grant expired")
	}
	readings := []time.Time{began, began.Add(ask.TTL)}
	clock := func() time.Time {
		now := readings[0]
		readings = readings[1:]
		return now
	}
	if h.Share().TakeChecked(clock) == quota.Admit {
		t.Error("a token was spent after a pause in which its grant expired")
	}
}

// Guards against a request refused as over the rate although its keeper has the
// next token soon.
func TestRequestWaitsForTheNextToken(t *testing.T) {
	asks := 0
	got, waited := decide(t, quota.Limit{Rate: 10, Burst: 1, Version: 1}, func(quota.Ask) (quota.Grant, bool) {
		asks++
		if asks == 1 {
			return quota.Grant{Status: quota.Empty, RetryAfter: 100 * time.Millisecond}, true
		}
		return quota.Grant{Tokens: 1}, true
	})
	if got != quota.Admit || waited != 100*time.Millisecond {
		t.Errorf("decision %d after %v, want %d after 100ms", got, waited, quota.Admit)
	}
}

// Guards against a second token taken for a request whose grant has arrived but
// which is not settled yet: most such tokens expire unspent.
func TestTokensAtHandAreNotAskedForAgain(t *testing.T) {
	h := quota.NewHolder(selfID, "zone", "team", quota.Limit{Rate: 100, Burst: 100, Version: 1}, began, oneKeeper{})
	h.Join(began, 1, began.Add(time.Second))
	ask, _ := h.NeedAsk(began)
	h.OnGrant(began, quota.Grant{Key: ask.Key, Holder: ask.Holder, Seq: ask.Seq, Tokens: ask.Need})
	if again, ok := h.NeedAsk(began); ok {
		t.Errorf("%d more tokens were asked for", again.Need)
	}
}
