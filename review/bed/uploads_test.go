//go:build review

package bed

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["uploads"] = uploads }

// watchMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again after a short delay. It returns the number of ends so far.
func (h *host) watchMemory(done <-chan struct{}) func() int {
	var mu sync.Mutex
	ends, peak := 0, 0
	go func() {
		for {
			select {
			case <-done:
				h.bed.record.printf("%s: %d MB of memory at the peak", h.name, peak)
				return
			case <-time.After(5 * time.Millisecond):
			}
			mb := h.residentMB()
			peak = max(peak, mb)
			if mb <= memoryLimitMB {
				continue
			}
			h.bed.record.printf("%s: has %d MB of memory, the limit is %d MB: killed", h.name, mb, memoryLimitMB)
			mu.Lock()
			ends++
			mu.Unlock()
			<-h.signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
			h.start()
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return ends
	}
}

// uploads has consumers of one tenant on one machine that send bodies below max_body_bytes
// over kept channels: one each 1.5 s. While the tenant is hot, for 6 s, there are seven.
func uploads(b *bed, trouble bool) []string {
	const (
		size     = 28 << 20
		usual    = 1
		hot      = 7 // times the usual; the site's largest dose is 7.5, for 6.5 s
		hotFrom  = 5 * time.Second
		hotUntil = hotFrom + 6*time.Second
		length   = 16 * time.Second
		interval = 1500 * time.Millisecond
		gap      = 80 * time.Millisecond // between the consumers of a round
	)
	b.addService("bookings", 6, 7, 720*time.Millisecond)
	b.config.Hosts = []map[string]any{{"host": "depot.example", "paths": []any{
		route("r-depot", "/swaps/", "non_idempotent", "bookings", 5*time.Second, 2),
	}}}
	b.publish()
	b.start()
	entry := b.hosts[0]
	done := make(chan struct{})
	ends := entry.watchMemory(done)
	kept := make([]*consumer, hot)
	keep := func(i int) { // opens a channel and uses it once
		entry.awaitReady(10 * time.Second)
		c, err := dial(entry.callersAddr())
		must(err)
		r := &request{"POST", "/swaps/mat", "depot.example", "key-a", fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()), 5 * time.Second, []byte("visit")}
		must(c.send(r))
		if a := c.receive(r, 6*time.Second); a.err != nil {
			_ = c.conn.Close()
			return
		}
		kept[i] = c
	}
	type upload struct {
		attempt string
		answer  answer
	}
	var mu sync.Mutex
	var all []upload
	start := time.Now()
	for round := 0; time.Since(start) < length; round++ {
		began := time.Now()
		n := usual
		if at := began.Sub(start); trouble && at >= hotFrom && at < hotUntil {
			n = hot
		}
		var group sync.WaitGroup
		for i := range n {
			if kept[i] == nil {
				group.Go(func() { keep(i) })
			}
		}
		group.Wait()
		for i := range n {
			c := kept[i]
			if c == nil {
				continue
			}
			time.Sleep(gap)
			group.Go(func() {
				r := &request{"POST", "/swaps/photo", "depot.example", "key-a", fmt.Sprintf("upload-%d-%d", round, i), 12 * time.Second, make([]byte, size)}
				b.record.printf("%s: consumer sends %s of %d bytes on a kept channel", entry.name, r.attempt, size)
				a := answer{err: c.send(r)}
				if a.err == nil {
					a = c.receive(r, 13*time.Second)
				}
				b.record.printf("%s: consumer got for %s: %v", entry.name, r.attempt, a)
				if a.err != nil {
					_ = c.conn.Close()
					kept[i] = nil
				}
				mu.Lock()
				all = append(all, upload{r.attempt, a})
				mu.Unlock()
			})
		}
		group.Wait()
		time.Sleep(time.Until(began.Add(interval)))
	}
	close(done)
	time.Sleep(50 * time.Millisecond)
	ran := make(map[string]bool)
	for _, run := range b.allRuns() {
		ran[run.attempt] = true
	}
	lost := 0
	for _, u := range all {
		if u.answer.err != nil && !isTimeout(u.answer.err) && ran[u.attempt] {
			lost++
			b.record.printf("%s had been passed on to a sound backend server and its channel ended without an answer", u.attempt)
		}
	}
	b.record.printf("%s: ended %d times for its memory, %d requests lost", entry.name, ends(), lost)
	if lost > 3 {
		return []string{fmt.Sprintf("LOST: %d requests from kept channels were passed on to sound backend servers and their channels ended without an answer; the process was ended %d times for its memory", lost, ends())}
	}
	return nil
}
