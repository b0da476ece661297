//go:build review

package bed

import (
	"fmt"
	"hash/fnv"
	"time"
)

func init() { scenarios["path"] = emptySegment }

// emptySegment adds a route for all paths of a host while traffic runs. Its consumers send
// some paths that begin with an empty segment, which RFC 3986 permits in a path.
func emptySegment(b *bed, trouble bool) []string {
	b.addService("bookings", 6, 7, 100*time.Millisecond)
	b.config.Hosts = []map[string]any{{"host": "depot.example", "paths": []any{
		route("r-depot", "/swaps/", "non_idempotent", "bookings", 5*time.Second, 2),
	}}}
	b.publish()
	b.start()
	if trouble {
		b.config.Hosts = append(b.config.Hosts, map[string]any{"host": "school.example", "paths": []any{
			route("r-school", "/", "non_idempotent", "bookings", 5*time.Second, 2),
		}})
		b.publish()
	}
	time.Sleep(contact)
	sent := make(map[string]*request)
	for i := range 40 {
		r := &request{
			method: "POST", target: "/swaps/mat?depot=7", host: "depot.example", key: "key-a", attempt: fmt.Sprintf("attempt-%02d", i),
			deadline: 5 * time.Second, body: fmt.Appendf(nil, "visit %d", i),
		}
		switch i % 4 {
		case 1:
			r.target, r.host = "/swaps/mat?school=3", "school.example"
		case 3:
			r.target, r.host = "//swaps/mat?school=3", "school.example"
		}
		sent[r.attempt] = r
		entry := b.hosts[i%len(b.hosts)]
		b.record.printf("%s: consumer sends %s: %s %s (Host %s)", entry.name, r.attempt, r.method, r.target, r.host)
		b.record.printf("%s: consumer got for %s: %v", entry.name, r.attempt, exchange(entry.callersAddr(), r))
	}
	return b.unasked(sent)
}

// unasked returns the runs that differ from the request that a consumer sent.
func (b *bed) unasked(sent map[string]*request) []string {
	var breaks []string
	for _, run := range b.allRuns() {
		r := sent[run.attempt]
		switch {
		case r == nil:
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s ran %s, which no consumer sent", run.backend, run.attempt))
		case run.method != r.method || run.target != r.target || run.body != hashOf(r.body):
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s ran %s as %s %s (Host %s), the consumer had sent %s %s (Host %s)",
				run.backend, run.attempt, run.method, run.target, run.host, r.method, r.target, r.host))
		}
	}
	return breaks
}

func hashOf(body []byte) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write(body)
	return digest.Sum64()
}
