package dispatch

import (
	"sync"
	"sync/atomic"
)

const (
	// headerBytes is the usual size of the header fields of a request and of its response
	// between two processes.
	headerBytes = 700
	// initialResponseBytes is the expected size of a body before the first response of a
	// route.
	initialResponseBytes = 1300
	// sizeSmoothing is the number of responses in the moving average of a route.
	sizeSmoothing = 32
)

// ResponseSizes estimates the bytes that a response of each route takes.
type ResponseSizes struct {
	means sync.Map // route name to *atomic.Int64, mean size of the body
}

// Expected returns the expected size of a response, including the headers of request and
// response.
func (s *ResponseSizes) Expected(route string) int {
	if mean, ok := s.means.Load(route); ok {
		return headerBytes + int(mean.(*atomic.Int64).Load())
	}
	return headerBytes + initialResponseBytes
}

// Observe records the size of the body of a response. Concurrent observations may replace
// each other.
func (s *ResponseSizes) Observe(route string, bytes int64) {
	known, loaded := s.means.Load(route)
	if !loaded {
		created := &atomic.Int64{}
		created.Store(bytes)
		if known, loaded = s.means.LoadOrStore(route, created); !loaded {
			return
		}
	}
	mean := known.(*atomic.Int64)
	old := mean.Load()
	mean.Store(old + (bytes-old)/sizeSmoothing)
}
