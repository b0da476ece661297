package retry

import (
	"sync/atomic"
	"time"
)

// Window bounds the retries of an entry by the requests of the same time: in
// every window, at most a share of the requests and a fixed number. In contrast
// to Budget, what was earned is kept for the whole window, so that retries can
// come together. Traffic goroutines use it at the same time without a lock; a
// few retries more may pass at the change of a slice.
type Window struct {
	length time.Duration
	share  float64
	extra  float64
	slices [windowSlices]slice
}

// windowSlices is the resolution of a window. A retry is forgotten up to one
// slice after the window, never before.
const windowSlices = 11

// slice counts what began in one part of the window.
type slice struct {
	number   atomic.Int64 // of the slice, counted from the zero time
	requests atomic.Int64
	retries  atomic.Int64 // in thousandths
}

// NewWindow returns a window of a length that permits share retries for each
// request and extra besides.
func NewWindow(length time.Duration, share, extra float64) *Window {
	return &Window{length: length, share: share, extra: extra}
}

func (w *Window) number(now time.Time) int64 {
	return now.UnixNano() / int64(w.length/(windowSlices-1))
}

// at returns the current slice, emptied when it was last used a window ago.
func (w *Window) at(now time.Time) *slice {
	number := w.number(now)
	s := &w.slices[number%windowSlices]
	if old := s.number.Load(); old != number && s.number.CompareAndSwap(old, number) {
		s.requests.Store(0)
		s.retries.Store(0)
	}
	return s
}

// Earn counts one first attempt.
func (w *Window) Earn(now time.Time) { w.at(now).requests.Add(1) }

// Left returns the retries that are permitted now.
func (w *Window) Left(now time.Time) float64 {
	oldest := w.number(now) - windowSlices + 1
	var requests, retries int64
	for i := range w.slices {
		if s := &w.slices[i]; s.number.Load() >= oldest {
			requests += s.requests.Load()
			retries += s.retries.Load()
		}
	}
	return w.share*float64(requests) + w.extra - float64(retries)/unit
}

// Spend takes one retry; false means that none is permitted.
func (w *Window) Spend(now time.Time) bool {
	if w.Left(now) < 1 {
		return false
	}
	w.Charge(now, 1)
	return true
}

// Charge counts retries that were not asked for: requests that a repeated request
// makes are repeats, too. The amount may be a fraction.
func (w *Window) Charge(now time.Time, amount float64) {
	w.at(now).retries.Add(int64(amount * unit))
}
