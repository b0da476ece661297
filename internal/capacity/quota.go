package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quota"
)

// teamsPerProcess lists the measured numbers of teams whose requests reach one
// process.
var teamsPerProcess = []int{1, 10, 100, 1_000}

// remoteLeader is a directory in which one other process leads every shard.
type remoteLeader struct{}

// Target returns the host of that process.
func (remoteLeader) Target(uint32) (string, bool) { return hostID(1), true }

// OnLeader does nothing.
func (remoteLeader) OnLeader(uint32, string) {}

// OnMiss does nothing.
func (remoteLeader) OnMiss(uint32, string, string) {}

// quotaTraffic counts the messages of the token holders of one process.
type quotaTraffic struct {
	holders *quota.Holders
	count   messageCount
}

func (q *quotaTraffic) add(request, reply any) {
	q.count.Messages++
	q.count.Bytes += encodedBytes(request, reply)
}

// driveHolder performs the token requests and returns of a holder. The leader grants
// every request in full and without delay.
func (q *quotaTraffic) driveHolder(now time.Time, h *quota.Holder) {
	for request, ok := h.NextTokenRequest(now); ok; request, ok = h.NextTokenRequest(now) {
		grant := quota.Grant{Key: request.Key, Holder: request.Holder, Seq: request.Seq, Tokens: request.Need + request.Extra, Version: 1}
		q.add(request, grant)
		h.OnGrant(now, grant)
	}
	for back, ok := h.NextReturn(now); ok; back, ok = h.NextReturn(now) {
		q.add(back, struct{}{})
	}
	h.DecideWaiting(now)
}

// quotaSlope measures the quota messages of one process that serves
// targetRequestsPerSecond/targetHosts requests per second, for a growing number of
// teams.
func quotaSlope() []Slope {
	rate := Slope{Name: "quota messages at 104 requests/s", Per: "teams at the process", Unit: "B/s"}
	each := Slope{Name: "quota messages for each request", Per: "teams at the process", Unit: ""}
	for _, teams := range teamsPerProcess {
		count := measureQuota(teams, measuredVirtualSeconds)
		requests := float64(targetRequestsPerSecond) / targetHosts * measuredVirtualSeconds
		rate.add(teams, float64(count.Bytes)/measuredVirtualSeconds)
		each.add(teams, float64(count.Messages)/requests)
	}
	return []Slope{rate, each}
}

func measureQuota(teams, seconds int) messageCount {
	const step = 5 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	r := rand.New(rand.NewPCG(1, uint64(teams)))
	q := &quotaTraffic{holders: quota.NewHolders(quota.HolderID{Host: hostID(0), Incarnation: 1}, "zone-0", remoteLeader{})}
	for i := range teams {
		q.holders.SetLimit(start, fmt.Sprintf("team-%05d", i), quota.Limit{Rate: 1e6, Burst: 1e6, Version: 1})
	}
	gap := func() time.Duration {
		return time.Duration(r.ExpFloat64() * targetHosts / targetRequestsPerSecond * float64(time.Second))
	}
	next, end := start.Add(gap()), start.Add(time.Duration(seconds)*time.Second)
	var due []*quota.Holder
	for now := start; now.Before(end); now = now.Add(step) {
		for ; next.Before(now); next = next.Add(gap()) {
			q.request(now, fmt.Sprintf("team-%05d", r.IntN(teams)))
		}
		due = q.holders.Due(now, due[:0])
		for _, h := range due {
			q.driveHolder(now, h)
		}
	}
	return q.count
}

// request takes a token of a team, or enqueues the request if none is available.
func (q *quotaTraffic) request(now time.Time, team string) {
	h := q.holders.Get(team)
	q.holders.MarkBusy(team)
	if h.Take(now) == quota.Pending {
		h.Enqueue(now, 1, now.Add(time.Second))
	}
	q.driveHolder(now, h)
}
