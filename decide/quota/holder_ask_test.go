package quota_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// Guards against asking again for a waiting request whose token has arrived but
// is not settled yet: with a keeper in the same process that took a token of
// every free slot for each request, and kept them from other processes.
func TestWaitingRequestAsksForOneToken(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	limit := quota.Limit{Rate: 100, Burst: 40, Version: 1}
	h := quota.NewHolder(quota.HolderID{Host: "a", Incarnation: 1}, "zone", "team", limit, now, oneKeeper{})
	if got := h.Take(now); got != quota.AskFirst {
		t.Fatalf("Take = %v, want AskFirst", got)
	}
	h.Join(now, 1, now.Add(time.Second))
	asked := 0
	for ask, ok := h.NeedAsk(now); ok; ask, ok = h.NeedAsk(now) {
		asked += ask.Need + ask.Extra
		h.OnGrant(now, quota.Grant{Key: ask.Key, Holder: ask.Holder, Seq: ask.Seq, Tokens: ask.Need + ask.Extra, Version: 1})
	}
	settled := h.Settle(now)
	if asked != 1 || len(settled) != 1 || settled[0].Decision != quota.Admit {
		t.Errorf("asked for %d tokens and settled %v, want 1 token and one admission", asked, settled)
	}
}
