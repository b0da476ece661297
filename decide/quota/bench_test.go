package quota_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// alwaysLeader reports one tenure of every shard, from the start on.
type alwaysLeader struct{}

func (alwaysLeader) Tenure(time.Time, uint32) (lease.Tenure, bool) {
	return lease.Tenure{Epoch: 1, Since: testStart, Until: testStart.Add(time.Hour)}, true
}

// holderWithTokens returns the token cache of a holder that was granted the tokens.
func holderWithTokens(tokens int) *quota.TokenCache {
	h := quota.NewHolder(selfID, "zone", "team", quota.Limit{Rate: 1e6, Burst: 1e6, Version: 1}, testStart, oneLeader{})
	h.Enqueue(testStart, 1, testStart.Add(time.Second))
	req, _ := h.NextTokenRequest(testStart)
	h.OnGrant(testStart, quota.Grant{Key: req.Key, Holder: req.Holder, Seq: req.Seq, Tokens: tokens})
	return h.TokenCache()
}

// Guards against heap allocations for each request, with and without an available
// token.
func TestTakeDoesNotAllocate(t *testing.T) {
	cache := holderWithTokens(500)
	if n := testing.AllocsPerRun(1000, func() { cache.Take(testStart) }); n != 0 {
		t.Errorf("Take allocates %v times", n)
	}
	clock := func() time.Time { return testStart }
	if n := testing.AllocsPerRun(1000, func() { cache.TakeChecked(clock) }); n != 0 {
		t.Errorf("TakeChecked allocates %v times", n)
	}
}

func BenchmarkTake(b *testing.B) {
	const tokens = 1 << 19
	cache := holderWithTokens(tokens)
	b.ReportAllocs()
	for b.Loop() {
		if cache.Take(testStart) != quota.Admit {
			cache = holderWithTokens(tokens)
		}
	}
}

func BenchmarkTakeWithoutToken(b *testing.B) {
	cache := holderWithTokens(0)
	b.ReportAllocs()
	for b.Loop() {
		cache.Take(testStart)
	}
}

func BenchmarkGrant(b *testing.B) {
	l := quota.NewLeader(1, testStart, alwaysLeader{})
	l.SetLimit(testStart, "team", quota.Limit{Rate: 1000, Burst: 1000, Version: 1})
	req := quota.TokenRequest{Key: quota.Key{Team: "team"}, Holder: selfID, Need: 1, TTL: 100 * time.Millisecond}
	now := testStart.Add(10 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		req.Seq++
		now = now.Add(time.Millisecond)
		l.Grant(now, req)
	}
}
