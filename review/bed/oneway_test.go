//go:build review

package bed

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

func init() { scenarios["oneway"] = oneWay }

// oneWay has a tenant that asks for more than its allotment at all machines. For some seconds
// the datagrams that the owner of its tokens sends are lost; it gets those of the others.
func oneWay(b *bed, trouble bool) []string {
	const (
		rate, burst = 60.0, 60.0
		before      = 8 * time.Second
		length      = 5500 * time.Millisecond
		after       = 8 * time.Second
		consumers   = 8 // of each machine
		pause       = 20 * time.Millisecond
		window      = 5 * time.Second
		excess      = 0.25
		slack       = 20.0
	)
	b.config.Tenants[0]["rate_per_s"], b.config.Tenants[0]["burst_size"] = rate, burst
	b.addService("bookings", 8, 7, 20*time.Millisecond)
	b.config.Hosts = []map[string]any{{"host": "depot.example", "paths": []any{
		route("r-depot", "/swaps/", "non_idempotent", "bookings", 5*time.Second, 2),
	}}}
	b.interpose()
	b.publish()
	b.start()
	var members []rendezvous.Member
	for _, h := range b.hosts {
		members = append(members, rendezvous.Member{ID: h.ip})
	}
	owner := b.hosts[slices.IndexFunc(b.hosts, func(h *host) bool { return h.ip == rendezvous.Rank(rendezvous.Hash("tenant-a"), members, 1)[0].ID })]
	end := time.Now().Add(before + length + after)
	var group sync.WaitGroup
	for i, entry := range b.hosts {
		for j := range consumers {
			group.Go(func() {
				var c *consumer
				for n := 0; time.Now().Before(end); n++ {
					if c == nil {
						var err error
						c, err = dial(entry.callersAddr())
						must(err)
					}
					r := &request{"POST", "/swaps/mat", "depot.example", "key-a", fmt.Sprintf("attempt-%d-%d-%d", i, j, n), 5 * time.Second, []byte("visit")}
					must(c.send(r))
					a := c.receive(r, 6*time.Second)
					if a.err != nil || a.status != 429 {
						b.record.printf("%s: consumer got for %s: %v", entry.name, r.attempt, a)
					}
					if a.err != nil {
						_ = c.conn.Close()
						c = nil
					}
					time.Sleep(pause)
				}
			})
		}
	}
	time.Sleep(before)
	if trouble {
		b.record.printf("%s: the datagrams that it sends are lost", owner.name)
		b.links.mute.Store(owner)
	}
	time.Sleep(length)
	b.links.mute.Store(nil)
	b.record.printf("%s: its datagrams arrive again", owner.name)
	group.Wait()
	var at []time.Time
	for _, run := range b.allRuns() {
		at = append(at, run.at)
	}
	slices.SortFunc(at, time.Time.Compare)
	most, from, first := 0, time.Time{}, 0
	for i := range at {
		for at[i].Sub(at[first]) > window {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, at[first]
		}
	}
	limit := (rate*window.Seconds()+burst)*(1+excess) + slack
	b.record.printf("%d requests of the tenant ran within %v, from %.3f s on; the limit is %.1f", most, window, from.Sub(b.record.began).Seconds(), limit)
	if float64(most) > limit {
		return []string{fmt.Sprintf("QUOTA: %d requests of the tenant ran within %v, the limit is %.1f", most, window, limit)}
	}
	return nil
}
