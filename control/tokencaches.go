package control

import (
	"maps"
	"sync/atomic"

	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

// tokenCacheBuckets is the number of buckets of a TokenCacheTable. Adding one of
// 72,000 teams then copies about 280 entries instead of all.
const tokenCacheBuckets = 256

// TokenCacheTable maps teams to their token caches. The control loop adds entries;
// request goroutines read it without a lock.
type TokenCacheTable struct {
	buckets [tokenCacheBuckets]atomic.Pointer[map[string]*quota.TokenCache]
}

// Lookup returns the token cache of a team, nil if it has none yet.
func (t *TokenCacheTable) Lookup(team string) *quota.TokenCache {
	bucket := t.buckets[rendezvous.Hash(team)%tokenCacheBuckets].Load()
	if bucket == nil {
		return nil
	}
	return (*bucket)[team]
}

// add adds the token cache of a team. Only the control loop calls it.
func (t *TokenCacheTable) add(team string, cache *quota.TokenCache) {
	slot := &t.buckets[rendezvous.Hash(team)%tokenCacheBuckets]
	next := make(map[string]*quota.TokenCache)
	if old := slot.Load(); old != nil {
		maps.Copy(next, *old)
	}
	next[team] = cache
	slot.Store(&next)
}
