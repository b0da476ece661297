package ledger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// attempt is what a holder remembers of one attempt of a key.
type attempt struct {
	id      string
	request uint64
	state   AttemptState
	status  int
	until   time.Time
	granted bool // by this holder; one that was fetched is no grant of its own
}

// advance takes a later state of the same attempt and reports whether it expires at
// another time: a finished attempt keeps its window, a released one is forgotten
// soon.
func (a *attempt) advance(now time.Time, r Record) bool {
	if r.State <= a.state {
		return false
	}
	a.state, a.status = r.State, r.Status
	if a.state != Released {
		return false
	}
	a.until = now.Add(ReleasedFor)
	return true
}

func find(attempts []*attempt, id string) *attempt {
	for _, a := range attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

type keyID struct{ team, key string }

// slot tells where an expiring record is.
type slot struct {
	shard     uint32
	team, key string
}

func pageOf(team, key string) int {
	// ShardOf uses the low bits of the same hash, which are alike within a shard.
	return int(xxhash.Sum64String(team+"\x00"+key) >> 60 % Pages)
}

// live returns the attempts of a key that have not expired.
func (s *shard) live(now time.Time, team, key string) []*attempt {
	var live []*attempt
	for _, a := range s.pages[pageOf(team, key)][keyID{team, key}] {
		if a.until.After(now) {
			live = append(live, a)
		}
	}
	return live
}

func (h *Holder) add(now time.Time, number uint32, r Record) *attempt {
	page := h.shards[number].pages[pageOf(r.Team, r.Key)]
	id := keyID{r.Team, r.Key}
	a := &attempt{
		id: r.Attempt, request: r.Request, state: r.State, status: r.Status,
		until: now.Add(time.Duration(r.RemainingMS) * time.Millisecond),
	}
	page[id] = append(page[id], a)
	h.count++
	h.schedule(a.until, slot{number, r.Team, r.Key})
	return a
}

func (h *Holder) schedule(until time.Time, at slot) {
	second := max(h.second(until), h.swept+1)
	h.expiry[second] = append(h.expiry[second], at)
}

// second counts from the start of the process, on the monotonic clock.
func (h *Holder) second(t time.Time) int64 { return int64(t.Sub(h.start) / time.Second) }

// expire drops the records that expired, second by second.
func (h *Holder) expire(now time.Time) {
	for ; h.swept < h.second(now)-1; h.swept++ {
		second := h.swept + 1
		for _, at := range h.expiry[second] {
			h.drop(now, at)
		}
		delete(h.expiry, second)
	}
}

func (h *Holder) drop(now time.Time, at slot) {
	s := h.shards[at.shard]
	if s == nil {
		return
	}
	page := s.pages[pageOf(at.team, at.key)]
	id := keyID{at.team, at.key}
	before := len(page[id])
	page[id] = slices.DeleteFunc(page[id], func(a *attempt) bool { return !a.until.After(now) })
	h.count -= before - len(page[id])
	if len(page[id]) == 0 {
		delete(page, id)
	}
}

func (h *Holder) dropShard(number uint32) {
	for _, page := range h.shards[number].pages {
		for _, attempts := range page {
			h.count -= len(attempts)
		}
	}
	delete(h.shards, number)
}

// records returns the records from a page on, and the page to go on with.
func (s *shard) records(now time.Time, page int) ([]Record, int) {
	var out []Record
	for page < Pages && len(out) < MaxExport {
		out = s.appendPage(out, now, page)
		page++
	}
	return out, page
}

func (s *shard) appendPage(out []Record, now time.Time, page int) []Record {
	for id, attempts := range s.pages[page] {
		for _, a := range attempts {
			// Rounds up, so that a copy never expires before its original.
			remaining := (a.until.Sub(now) + time.Millisecond - 1).Milliseconds()
			if remaining <= 0 {
				continue
			}
			out = append(out, Record{
				Team: id.team, Key: id.key, Attempt: a.id, Request: a.request,
				State: a.state, Status: a.status, RemainingMS: remaining,
			})
		}
	}
	return out
}
