//go:build review

package bed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { scenarios["leave"] = leavingConsumers }

// leavingConsumers has consumers that book over kept channels. A fifth of them leave within
// half of the objective: they close their side of the channel and read what still comes.
func leavingConsumers(b *bed, trouble bool) []string {
	const (
		consumers = 30
		length    = 5500 * time.Millisecond
	)
	b.addService("bookings", 6, 7, 1800*time.Millisecond)
	b.config.Hosts = []map[string]any{{"host": "depot.example", "paths": []any{
		route("r-depot", "/swaps/", "non_idempotent", "bookings", 5*time.Second, 2),
	}}}
	b.publish()
	b.start()
	var mu sync.Mutex
	var breaks []string
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range consumers {
		leaves := trouble && i%5 == 0
		entry := b.hosts[i%len(b.hosts)]
		random := rand.New(rand.NewPCG(46, uint64(i)))
		group.Go(func() {
			var c *consumer
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					c, err = dial(entry.callersAddr())
					must(err)
				}
				r := &request{"POST", "/swaps/mat", "depot.example", "key-a", fmt.Sprintf("c%02d-%d", i, n), 12 * time.Second, []byte("visit")}
				b.record.printf("%s: consumer sends %s", entry.name, r.attempt)
				must(c.send(r))
				if leaves {
					time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
					must(c.conn.(*net.TCPConn).CloseWrite())
					b.record.printf("%s: consumer of %s leaves: it closes its side of the channel", entry.name, r.attempt)
				}
				a := c.receive(r, 6*time.Second)
				b.record.printf("%s: consumer got for %s: %v", entry.name, r.attempt, a)
				if a.err == nil && a.status >= 200 && a.status < 300 && a.signature == "" {
					mu.Lock()
					breaks = append(breaks, fmt.Sprintf("MIXED: %s got a success (%d) without a signature and with the body %q", r.attempt, a.status, a.text))
					mu.Unlock()
				}
				if leaves || a.err != nil {
					_ = c.conn.Close()
					c = nil
				}
				time.Sleep(100 * time.Millisecond)
			}
			if c != nil {
				_ = c.conn.Close()
			}
		})
	}
	group.Wait()
	return breaks
}
