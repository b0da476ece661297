package fakes

import (
	"context"
	"sync"
)

// slots bounds concurrent work. Requests wait in the order of arrival.
type slots struct {
	mu      sync.Mutex
	total   int
	foreign int // in use by the sister firm
	used    int
	waiting []chan struct{}
}

func newSlots(total int) *slots {
	return &slots{total: total}
}

// take waits for a slot. It returns false if ctx ends first.
func (s *slots) take(ctx context.Context) bool {
	turn := s.enqueue()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		s.leave(turn)
		return false
	}
}

func (s *slots) enqueue() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.admit()
	return turn
}

// admit gives free slots to those that wait. The caller holds the lock.
func (s *slots) admit() {
	for len(s.waiting) > 0 && s.used+s.foreign < s.total {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.used++
	}
}

// leave gives up a place in the queue, or the slot if it came meanwhile.
func (s *slots) leave(turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.used--
	s.admit()
}

func (s *slots) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.admit()
}

func (s *slots) occupy(foreign int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foreign = foreign
	s.admit()
}

func (s *slots) state() (used, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.waiting)
}
