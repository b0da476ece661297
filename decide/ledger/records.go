package ledger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// attempt is the stored record of one attempt of a key.
type attempt struct {
	id            string
	requestDigest uint64
	state         AttemptState
	status        int
	expires       time.Time
	granted       bool // granted by this replica, not just fetched from another
}

// advance applies a later state of the same attempt and reports whether its expiry
// changed: a finished attempt keeps its expiry, a released one expires after
// ReleasedRetention.
func (a *attempt) advance(now time.Time, r Record) bool {
	if r.State <= a.state {
		return false
	}
	a.state, a.status = r.State, r.Status
	if a.state != Released {
		return false
	}
	a.expires = now.Add(ReleasedRetention)
	return true
}

func findAttempt(attempts []*attempt, id string) *attempt {
	for _, a := range attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

type keyID struct{ team, key string }

// expiryKey identifies the records of one key in the expiry schedule.
type expiryKey struct {
	shard     uint32
	team, key string
}

// pageOf returns the page of a key in its shard.
func pageOf(team, key string) int {
	// Use the high bits of the hash. The low bits are similar for all keys of a
	// shard, because ShardOf uses them.
	return int(xxhash.Sum64String(team+"\x00"+key) >> 60 % PagesPerShard)
}

// liveAttempts returns the unexpired attempts of a key.
func (s *shard) liveAttempts(now time.Time, team, key string) []*attempt {
	var live []*attempt
	for _, a := range s.pages[pageOf(team, key)][keyID{team, key}] {
		if a.expires.After(now) {
			live = append(live, a)
		}
	}
	return live
}

func (h *Replica) addRecord(now time.Time, number uint32, r Record) *attempt {
	page := h.shards[number].pages[pageOf(r.Team, r.Key)]
	id := keyID{r.Team, r.Key}
	a := &attempt{
		id: r.Attempt, requestDigest: r.RequestDigest, state: r.State, status: r.Status,
		expires: now.Add(time.Duration(r.RemainingMS) * time.Millisecond),
	}
	page[id] = append(page[id], a)
	h.recordCount++
	h.scheduleExpiry(a.expires, expiryKey{number, r.Team, r.Key})
	return a
}

func (h *Replica) scheduleExpiry(until time.Time, at expiryKey) {
	second := max(h.secondsSinceStart(until), h.expiredThrough+1)
	h.expiry[second] = append(h.expiry[second], at)
}

// secondsSinceStart returns the number of seconds from the start of the process to t,
// by the monotonic clock.
func (h *Replica) secondsSinceStart(t time.Time) int64 {
	return int64(t.Sub(h.processStart) / time.Second)
}

// expire deletes the records that expired in the seconds since the last call.
func (h *Replica) expire(now time.Time) {
	for ; h.expiredThrough < h.secondsSinceStart(now)-1; h.expiredThrough++ {
		second := h.expiredThrough + 1
		for _, at := range h.expiry[second] {
			h.dropExpired(now, at)
		}
		delete(h.expiry, second)
	}
}

func (h *Replica) dropExpired(now time.Time, at expiryKey) {
	s := h.shards[at.shard]
	if s == nil {
		return
	}
	page := s.pages[pageOf(at.team, at.key)]
	id := keyID{at.team, at.key}
	before := len(page[id])
	page[id] = slices.DeleteFunc(page[id], func(a *attempt) bool { return !a.expires.After(now) })
	h.recordCount -= before - len(page[id])
	if len(page[id]) == 0 {
		delete(page, id)
	}
}

func (h *Replica) dropShard(number uint32) {
	for _, page := range h.shards[number].pages {
		for _, attempts := range page {
			h.recordCount -= len(attempts)
		}
	}
	delete(h.shards, number)
}

// records returns the records of whole pages, from the given page until
// MaxSyncRecords is reached, and the next page to request.
func (s *shard) records(now time.Time, page int) ([]Record, int) {
	var out []Record
	for page < PagesPerShard && len(out) < MaxSyncRecords {
		out = s.appendPage(out, now, page)
		page++
	}
	return out, page
}

func (s *shard) appendPage(out []Record, now time.Time, page int) []Record {
	for id, attempts := range s.pages[page] {
		for _, a := range attempts {
			// Round up, so that a copy never expires before its original.
			remaining := (a.expires.Sub(now) + time.Millisecond - 1).Milliseconds()
			if remaining <= 0 {
				continue
			}
			out = append(out, Record{
				Team: id.team, Key: id.key, Attempt: a.id, RequestDigest: a.requestDigest,
				State: a.state, Status: a.status, RemainingMS: remaining,
			})
		}
	}
	return out
}
