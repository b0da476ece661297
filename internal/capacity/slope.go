package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Point is one measured value at one size.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost measured at several sizes.
type Slope struct {
	Name   string  `json:"name"`
	Per    string  `json:"per"` // what the size counts
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
}

// heapOf returns the live heap that build adds, in MB. The result is kept alive
// until the measurement is over.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(int64(after)-int64(before)) / 1e6
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// rounds is how often a timed function runs; the least time counts, since other
// load on the machine only adds.
const rounds = 3

// timeOf returns the least duration of f in microseconds.
func timeOf(f func()) float64 {
	least := time.Duration(1<<63 - 1)
	for range rounds {
		start := time.Now()
		f()
		least = min(least, time.Since(start))
	}
	return float64(least.Nanoseconds()) / 1e3
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
