package fakes

import (
	"context"
	"sync"
)

// slotQueue limits the number of concurrent requests. Requests wait in FIFO order.
type slotQueue struct {
	mu       sync.Mutex
	total    int
	external int // in use by requests from outside the fleet
	used     int
	waiting  []chan struct{}
}

func newSlotQueue(total int) *slotQueue {
	return &slotQueue{total: total}
}

// acquire waits for a slot. It returns false if ctx is done first.
func (s *slotQueue) acquire(ctx context.Context) bool {
	granted := s.enqueue()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		s.abandon(granted)
		return false
	}
}

func (s *slotQueue) enqueue() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.admit()
	return granted
}

// admit assigns free slots to waiting requests. The caller holds the lock.
func (s *slotQueue) admit() {
	for len(s.waiting) > 0 && s.used+s.external < s.total {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.used++
	}
}

// abandon removes a request from the queue, or releases its slot if it was granted in
// the meantime.
func (s *slotQueue) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.used--
	s.admit()
}

func (s *slotQueue) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.admit()
}

func (s *slotQueue) setExternal(external int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.external = external
	s.admit()
}

func (s *slotQueue) usage() (used, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.waiting)
}
