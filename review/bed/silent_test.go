//go:build review

package bed

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["silent"] = silentChannel }

// silentChannel has consumers with a long time budget. The open channels between the machines
// go silent while the requests run; the machine that took them is stopped half a minute later.
func silentChannel(b *bed, trouble bool) []string {
	const (
		budget    = 40 * time.Second
		requests  = 4
		stopAfter = 29 * time.Second // its last attempts may start 3.2 s later
	)
	b.addService("bookings", 3, 7, 900*time.Millisecond)
	b.addService("roster", 1, 7, 900*time.Millisecond)
	b.config.Hosts = []map[string]any{{"host": "depot.example", "paths": []any{
		route("r-depot", "/swaps/", "non_idempotent", "bookings", budget, 2),
	}}}
	b.interpose()
	b.publish()
	b.start()
	entry := b.hosts[len(b.hosts)-1] // of another service, so that all requests go to other machines
	type result struct {
		attempt string
		answer  answer
	}
	results := make(chan result, requests)
	for i := range requests {
		go func() {
			r := &request{"POST", "/swaps/mat", "depot.example", "key-a", fmt.Sprintf("attempt-%d", i), budget, []byte("visit")}
			b.record.printf("%s: consumer sends %s", entry.name, r.attempt)
			a := exchange(entry.callersAddr(), r)
			b.record.printf("%s: consumer got for %s after %.1f s: %v", entry.name, r.attempt, a.took.Seconds(), a)
			results <- result{r.attempt, a}
		}()
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		b.record.printf("links: %d open channels between the machines go silent for good", b.links.silence())
		time.Sleep(stopAfter)
		exited := entry.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-exited:
			case <-time.After(grace):
				entry.signal(syscall.SIGKILL)
			}
		}()
	}
	var breaks []string
	for range requests {
		got := <-results
		promised := got.answer.err == nil && (got.answer.status == 429 || got.answer.status == 503 || got.answer.status == 408 || got.answer.status == 421)
		for _, run := range b.allRuns() {
			if promised && run.attempt == got.attempt {
				breaks = append(breaks, fmt.Sprintf("REFUSED: %s was answered %d and had run at %s", got.attempt, got.answer.status, run.backend))
			}
		}
	}
	return breaks
}
