package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

// heapFloor is the size up to which the heap grows before garbage is collected.
// The live heap of a small fleet is a few MB, at which the usual setting collects
// every few dozen requests and each collection delays the requests that run. 64
// MiB is half of the memory that a process may take at the goal's size.
const heapFloor = 64 << 20

// usualPercent is the usual growth of the heap between collections.
const usualPercent = 100

// keepHeapFloor sets the growth of the heap after each collection, such that the
// next one starts at heapFloor or at twice the live heap, whichever is more. A
// setting of the environment is left in force.
func keepHeapFloor() {
	if os.Getenv("GOGC") == "" {
		follow(&collectionMark{percent: usualPercent, sizes: []metrics.Sample{
			{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
		}})
	}
}

// collectionMark is garbage as soon as it is made, so that its finalizer runs
// after the next collection. It holds a pointer, since the runtime puts small
// values without pointers together, which would keep it alive.
type collectionMark struct {
	percent int              // in force
	sizes   []metrics.Sample // live heap, stacks, globals
}

func follow(m *collectionMark) {
	metrics.Read(m.sizes)
	wanted := growthPercent(m.sizes[0].Value.Uint64(), m.sizes[1].Value.Uint64()+m.sizes[2].Value.Uint64())
	// A change stops all goroutines for a moment, so small ones are left out.
	if wanted < m.percent || wanted > m.percent+m.percent/10 {
		debug.SetGCPercent(wanted)
		m.percent = wanted
	}
	runtime.SetFinalizer(&collectionMark{percent: m.percent, sizes: m.sizes}, follow)
}

// growthPercent returns the growth at which the heap is collected at heapFloor, at
// least usualPercent. The runtime counts the growth over the live heap and the
// roots: stacks and globals.
func growthPercent(live, roots uint64) int {
	const leastLive = 4 << 20 // the runtime's own least heap; also bounds the result
	live = max(live, leastLive)
	if live >= heapFloor {
		return usualPercent
	}
	return max(int((heapFloor-live)*100/(live+roots)), usualPercent)
}
