package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

// gcTriggerFloorBytes is the heap size below which no garbage collection starts. In a
// small fleet the live heap is a few MB; with the default GOGC a collection would run
// every few dozen requests, and each one delays the requests in progress. 64 MiB is
// half of the memory limit of a process at the target scale.
const gcTriggerFloorBytes = 64 << 20

// defaultGCPercent is the default of GOGC.
const defaultGCPercent = 100

// setHeapFloor adjusts the GC percentage after each collection, so that the next one
// starts at gcTriggerFloorBytes or at twice the live heap, whichever is larger. It does
// nothing if GOGC is set in the environment.
func setHeapFloor() {
	if os.Getenv("GOGC") == "" {
		adjustGCPercent(&gcSentinel{percent: defaultGCPercent, metricSamples: []metrics.Sample{
			{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
		}})
	}
}

// gcSentinel is unreachable as soon as it is created, so its finalizer runs after the
// next collection. It must contain a pointer: the runtime combines small objects
// without pointers in one allocation, which could keep it alive.
type gcSentinel struct {
	percent       int              // current GC percentage
	metricSamples []metrics.Sample // in order: live heap, stacks, globals
}

// adjustGCPercent sets the GC percentage for the current heap and creates the sentinel
// that runs it again after the next collection.
func adjustGCPercent(m *gcSentinel) {
	metrics.Read(m.metricSamples)
	newPercent := gcPercent(m.metricSamples[0].Value.Uint64(), m.metricSamples[1].Value.Uint64()+m.metricSamples[2].Value.Uint64())
	// Setting the percentage briefly stops all goroutines, so small increases are
	// skipped.
	if newPercent < m.percent || newPercent > m.percent+m.percent/10 {
		debug.SetGCPercent(newPercent)
		m.percent = newPercent
	}
	runtime.SetFinalizer(&gcSentinel{percent: m.percent, metricSamples: m.metricSamples}, adjustGCPercent)
}

// gcPercent returns the GC percentage at which the next collection starts at
// gcTriggerFloorBytes, but at least defaultGCPercent. The runtime applies the
// percentage to the sum of the live heap and the roots (stacks and globals).
func gcPercent(live, roots uint64) int {
	const minLiveHeapBytes = 4 << 20 // minimum heap size of the runtime; also limits the result
	live = max(live, minLiveHeapBytes)
	if live >= gcTriggerFloorBytes {
		return defaultGCPercent
	}
	return max(int((gcTriggerFloorBytes-live)*100/(live+roots)), defaultGCPercent)
}
