package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Point is the value measured at one size.
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

// measureHeapMB returns the live heap in MB that build adds. The result of build is
// kept alive until the measurement is over.
func measureHeapMB(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return float64(int64(after)-int64(before)) / 1e6
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// timingRounds is the number of runs of a timed function. The shortest counts, since
// other load on the machine can only add time.
const timingRounds = 3

// measureMinMicros returns the shortest duration of f over timingRounds runs, in
// microseconds.
func measureMinMicros(f func()) float64 {
	least := time.Duration(1<<63 - 1)
	for range timingRounds {
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
