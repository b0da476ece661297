package quota_test

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// Guards against another token request for a waiting request whose token has arrived
// but which is not decided yet. With a leader in the same process, each request would
// take a token for every free slot, and other processes could not get these tokens.
func TestOneTokenPerRequestIsRequestedFromLocalLeader(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	limit := quota.Limit{Rate: 100, Burst: 40, Version: 1}
	h := quota.NewHolder(quota.HolderID{Host: "a", Incarnation: 1}, "zone", "team", limit, now, oneLeader{})
	if got := h.Take(now); got != quota.Pending {
		t.Fatalf("Take = %v, want Pending", got)
	}
	h.Enqueue(now, 1, now.Add(time.Second))
	requested := 0
	for req, ok := h.NextTokenRequest(now); ok; req, ok = h.NextTokenRequest(now) {
		requested += req.Need + req.Extra
		h.OnGrant(now, quota.Grant{Key: req.Key, Holder: req.Holder, Seq: req.Seq, Tokens: req.Need + req.Extra, Version: 1})
	}
	decided := h.DecideWaiting(now)
	if requested != 1 || len(decided) != 1 || decided[0].Decision != quota.Admit {
		t.Errorf("requested %d tokens and decided %v, want 1 token and one admission", requested, decided)
	}
}
