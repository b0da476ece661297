package quota_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// always holds every shard from the start.
type always struct{}

func (always) Tenure(time.Time, uint32) (lease.Tenure, bool) {
	return lease.Tenure{Epoch: 1, Since: began, Until: began.Add(time.Hour)}, true
}

func holderWithTokens(tokens int) *quota.Share {
	h := quota.NewHolder(selfID, "zone", "team", quota.Limit{Rate: 1e6, Burst: 1e6, Version: 1}, began, oneKeeper{})
	h.Join(began, 1, began.Add(time.Second))
	ask, _ := h.NeedAsk(began)
	h.OnGrant(began, quota.Grant{Key: ask.Key, Holder: ask.Holder, Seq: ask.Seq, Tokens: tokens})
	return h.Share()
}

// Guards against garbage for each request, with and without a token at hand.
func TestTakeDoesNotAllocate(t *testing.T) {
	share := holderWithTokens(500)
	if n := testing.AllocsPerRun(1000, func() { share.Take(began) }); n != 0 {
		t.Errorf("Take allocates %v times", n)
	}
	clock := func() time.Time { return began }
	if n := testing.AllocsPerRun(1000, func() { share.TakeChecked(clock) }); n != 0 {
		t.Errorf("TakeChecked allocates %v times", n)
	}
}

func BenchmarkTake(b *testing.B) {
	const tokens = 1 << 19
	share := holderWithTokens(tokens)
	b.ReportAllocs()
	for b.Loop() {
		if share.Take(began) != quota.Admit {
			share = holderWithTokens(tokens)
		}
	}
}

func BenchmarkTakeWithoutToken(b *testing.B) {
	share := holderWithTokens(0)
	b.ReportAllocs()
	for b.Loop() {
		share.Take(began)
	}
}

func BenchmarkGrant(b *testing.B) {
	k := quota.NewKeeper(1, began, always{})
	k.SetLimit(began, "team", quota.Limit{Rate: 1000, Burst: 1000, Version: 1})
	ask := quota.Ask{Key: quota.Key{Team: "team"}, Holder: selfID, Need: 1, TTL: 100 * time.Millisecond}
	now := began.Add(10 * time.Second)
	b.ReportAllocs()
	for b.Loop() {
		ask.Seq++
		now = now.Add(time.Millisecond)
		k.Grant(now, ask)
	}
}
