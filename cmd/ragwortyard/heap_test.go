package main

import "testing"

// Guards against a GC percentage that lets the heap grow beyond the larger of the floor
// and twice the live heap, or that starts collections below it.
func TestGCStartsAtFloorOrTwiceLiveHeap(t *testing.T) {
	const mib = 1 << 20
	for _, c := range []struct{ live, roots, want uint64 }{
		{0, 0, gcTriggerFloorBytes},
		{5 * mib, 0, gcTriggerFloorBytes},
		{5 * mib, 10 * mib, gcTriggerFloorBytes},
		{40 * mib, 0, 80 * mib},
		{200 * mib, 0, 400 * mib},
	} {
		percent := uint64(gcPercent(c.live, c.roots))
		live := max(c.live, 4*mib)
		goal := live + (live+c.roots)*percent/100
		if goal > c.want || goal < c.want*95/100 {
			t.Errorf("live %d MiB, roots %d MiB: collected at %d MiB, want %d", c.live/mib, c.roots/mib, goal/mib, c.want/mib)
		}
	}
}
