//go:build review

package bed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["poison"] = poison }

// poison has a request that crashes each backend server that begins to run it. It comes again
// every second, at any machine that is ready, also while the processes are stopped and
// started in turn, twice.
func poison(b *bed, trouble bool) []string {
	const (
		hosts     = 6
		rolls     = 2
		work      = 600 * time.Millisecond
		consumers = 10
		before    = 10 * time.Second // until the first stop
		after     = 9 * time.Second  // from the last start of a roll
		gap       = 1300 * time.Millisecond
		pause     = time.Second
		noRoll    = 24 * time.Second // instead of the stops
	)
	b.addService("bookings", hosts, 7, work)
	b.config.Hosts = []map[string]any{{"host": "depot.example", "paths": []any{
		route("r-depot", "/swaps/", "non_idempotent", "bookings", 5*time.Second, 2),
	}}}
	for _, h := range b.hosts {
		h.backend.crashes = func(r *run) bool { return strings.HasPrefix(r.target, "/swaps/poison") }
	}
	b.publish()
	b.start()
	var mu sync.Mutex
	stoppedAt := make(map[*host]time.Time) // last SIGTERM or start
	type sending struct {
		at      time.Time
		attempt string
		inTouch bool
	}
	var sent []sending
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { // the consumers of the poison
		random := rand.New(rand.NewPCG(46, 9))
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(pause):
			}
			for _, i := range random.Perm(len(b.hosts)) {
				entry := b.hosts[i]
				if !entry.ready() {
					continue
				}
				mu.Lock()
				inTouch := time.Since(stoppedAt[entry]) > contact
				mu.Unlock()
				r := &request{"POST", "/swaps/poison", "depot.example", "key-a", fmt.Sprintf("poison-%02d", n), 12 * time.Second, []byte("visit")}
				sent = append(sent, sending{time.Now(), r.attempt, inTouch})
				b.record.printf("%s: consumer sends %s (machine in touch: %v)", entry.name, r.attempt, inTouch)
				b.record.printf("%s: consumer got for %s: %v", entry.name, r.attempt, exchange(entry.callersAddr(), r))
				break
			}
		}
	})
	failed := make(map[string]bool) // other bookings without a success
	for i := range consumers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(pause / 2):
				}
				entry := b.hosts[(i+n)%len(b.hosts)]
				r := &request{"POST", "/swaps/mat", "depot.example", "key-a", fmt.Sprintf("visit-%d-%03d", i, n), 12 * time.Second, []byte("visit")}
				if a := exchange(entry.callersAddr(), r); a.err != nil || a.status != 200 {
					b.record.printf("%s: consumer got for %s: %v", entry.name, r.attempt, a)
					mu.Lock()
					failed[r.attempt] = true
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(before)
	for range rolls {
		if !trouble {
			time.Sleep(noRoll + after)
			continue
		}
		for _, h := range b.hosts {
			mu.Lock()
			stoppedAt[h] = time.Now().Add(grace)
			mu.Unlock()
			h.restart()
			mu.Lock()
			stoppedAt[h] = time.Now()
			mu.Unlock()
			time.Sleep(gap)
		}
		time.Sleep(after)
	}
	close(end)
	group.Wait()
	var crashes []run
	for _, run := range b.allRuns() {
		if strings.HasPrefix(run.target, "/swaps/poison") {
			crashes = append(crashes, run)
		}
	}
	slices.SortFunc(crashes, func(a, b run) int { return a.at.Compare(b.at) })
	b.record.printf("%d runs of the poison", len(crashes))
	if len(crashes) < 3 {
		return nil
	}
	ran := make(map[string]bool)
	for _, run := range crashes {
		ran[run.attempt] = true
	}
	lost := 0 // other bookings that ran at a server when it crashed once more
	for _, run := range b.allRuns() {
		for _, crash := range crashes[3:] {
			if failed[run.attempt] && run.backend == crash.backend && !run.at.After(crash.at) && crash.at.Sub(run.at) <= work {
				lost++
			}
		}
	}
	b.record.printf("%d other bookings ran at servers that crashed after the third crash and were lost", lost)
	var late []string
	for _, s := range sent {
		if s.inTouch && ran[s.attempt] && s.at.Sub(crashes[2].at) > contact {
			late = append(late, s.attempt)
		}
	}
	b.record.printf("retries by machines in touch that reached backend servers later than %v after the third crash: %v", contact, late)
	if len(late) > 3 {
		return []string{fmt.Sprintf("BUDGET: %d retries of a request that had crashed three backend servers reached more of them: %v; %d other bookings that ran there were lost", len(late), late, lost)}
	}
	return nil
}
