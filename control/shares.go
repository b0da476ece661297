package control

import (
	"maps"
	"sync/atomic"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// shareBuckets divides the table of shares, so that adding one of 72,000 teams
// copies about 280 entries instead of all.
const shareBuckets = 256

// ShareTable finds the tokens that traffic may spend for a team. The control
// loop adds entries; traffic reads without a lock.
type ShareTable struct {
	buckets [shareBuckets]atomic.Pointer[map[string]*quota.TokenCache]
}

// Lookup returns the share of a team, nil when it has none yet.
func (t *ShareTable) Lookup(team string) *quota.TokenCache {
	bucket := t.buckets[rendezvous.Hash(team)%shareBuckets].Load()
	if bucket == nil {
		return nil
	}
	return (*bucket)[team]
}

// add enters the share of a team. Only the control loop calls it.
func (t *ShareTable) add(team string, share *quota.TokenCache) {
	slot := &t.buckets[rendezvous.Hash(team)%shareBuckets]
	next := make(map[string]*quota.TokenCache)
	if old := slot.Load(); old != nil {
		maps.Copy(next, *old)
	}
	next[team] = share
	slot.Store(&next)
}
