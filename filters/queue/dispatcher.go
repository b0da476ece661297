// Package queue holds the requests that wait for a slot of one local backend
// server.
package queue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Load is what a dispatcher reports of its backend server.
type Load struct {
	Queued int           // requests that wait or run
	Limit  int           // usable concurrency
	Wait   time.Duration // expected wait of a new request
}

// Dispatcher owns the slots and the queue of one backend server. One goroutine
// runs it; the goroutines of requests talk to it over channels.
type Dispatcher struct {
	queue    *fairqueue.Queue
	limiter  *concurrency.Limiter
	enters   chan *ticket
	leaves   chan concurrency.Sample
	cancels  chan uint64
	load     atomic.Pointer[Load]
	ids      atomic.Uint64
	service  time.Duration // smoothed time that a request holds a slot
	alone    []*ticket     // suspects of a crash, which run with nothing else in flight
	exposed  *ticket       // the suspect that is running alone
	finished chan struct{}
}

// verdict is the answer to a ticket.
type verdict struct {
	code pipeline.Code // CodeOK grants a slot
}

// ticket is one request that wants a slot.
type ticket struct {
	item    fairqueue.Item
	alone   bool
	verdict chan verdict
}

// backlog lets requests hand over tickets without waiting for the dispatcher in
// the usual case.
const backlog = 64

// NewDispatcher returns a dispatcher for a backend server with the given slots.
func NewDispatcher(slots int) *Dispatcher {
	d := &Dispatcher{
		queue:    fairqueue.New(slots),
		limiter:  concurrency.New(time.Now(), slots),
		enters:   make(chan *ticket, backlog),
		leaves:   make(chan concurrency.Sample, backlog),
		cancels:  make(chan uint64, backlog),
		finished: make(chan struct{}),
	}
	d.publishLoad()
	return d
}

// Load returns the load at the last change.
func (d *Dispatcher) Load() Load {
	return *d.load.Load()
}

// Run serves tickets until ctx is done; then it refuses all that wait.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.finished)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseAll()
			return
		case t := <-d.enters:
			d.enter(time.Now(), t)
		case s := <-d.leaves:
			d.leave(time.Now(), s)
		case id := <-d.cancels:
			d.cancel(id)
		case <-timer.C:
		}
		d.dispatch(time.Now())
		d.publishLoad()
		d.resetTimer(timer)
	}
}

func (d *Dispatcher) resetTimer(timer *time.Timer) {
	next, ok := d.nextExpiry()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(next))
}

func (d *Dispatcher) nextExpiry() (time.Time, bool) {
	next, ok := d.queue.NextExpiry()
	for _, t := range d.alone {
		if !ok || t.item.Deadline.Before(next) {
			next, ok = t.item.Deadline, true
		}
	}
	return next, ok
}

func (d *Dispatcher) enter(now time.Time, t *ticket) {
	if t.alone {
		d.alone = append(d.alone, t)
		return
	}
	refusal := d.queue.Push(now, t.item)
	if refusal.Reason != fairqueue.Accepted {
		refused := refusal.Item.Payload.(*ticket)
		refused.verdict <- verdict{refusalCode(refusal.Reason)}
	}
}

func refusalCode(reason fairqueue.Reason) pipeline.Code {
	switch reason {
	case fairqueue.Full:
		return pipeline.CodeQueueFull
	case fairqueue.DeadlineTooShort:
		return pipeline.CodeDeadlineTooShort
	default:
		return pipeline.CodeDeadlinePassed
	}
}

// serviceSmoothing is the weight of one request in the mean time that a slot is
// held; about the last 16 requests count.
const serviceSmoothing = 16

func (d *Dispatcher) leave(now time.Time, s concurrency.Sample) {
	d.limiter.Release(now, s)
	d.exposed = nil
	if s.Outcome != concurrency.Completed {
		return
	}
	if d.service == 0 {
		d.service = s.Latency
	}
	d.service += (s.Latency - d.service) / serviceSmoothing
	d.queue.SetPace(fairqueue.Pace{Interval: d.service / time.Duration(d.limiter.Limit()), Service: d.service})
}

func (d *Dispatcher) cancel(id uint64) {
	if item, ok := d.queue.Remove(id); ok {
		item.Payload.(*ticket).verdict <- verdict{pipeline.CodeDeadlinePassed}
		return
	}
	for i, t := range d.alone {
		if t.item.ID == id {
			d.alone = append(d.alone[:i], d.alone[i+1:]...)
			t.verdict <- verdict{pipeline.CodeDeadlinePassed}
			return
		}
	}
}

// dispatch grants free slots and refuses what has expired.
func (d *Dispatcher) dispatch(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		item.Payload.(*ticket).verdict <- verdict{pipeline.CodeDeadlinePassed}
	}
	d.expireAlone(now)
	if d.exposed != nil {
		return
	}
	if len(d.alone) > 0 {
		d.dispatchAlone(now)
		return
	}
	for d.queue.Len() > 0 && d.limiter.Acquire(now) {
		item, ok := d.queue.Pop(now)
		if !ok {
			d.limiter.Release(now, concurrency.Sample{Outcome: concurrency.Ignored})
			return
		}
		item.Payload.(*ticket).verdict <- verdict{pipeline.CodeOK}
	}
}

// dispatchAlone runs the first suspect once nothing else is in flight. While a
// suspect waits, no other request gets a slot, so it waits for one service time.
func (d *Dispatcher) dispatchAlone(now time.Time) {
	if d.limiter.InFlight() > 0 || !d.limiter.Acquire(now) {
		return
	}
	d.exposed = d.alone[0]
	d.alone = d.alone[1:]
	d.exposed.verdict <- verdict{pipeline.CodeOK}
}

func (d *Dispatcher) expireAlone(now time.Time) {
	kept := d.alone[:0]
	for _, t := range d.alone {
		if now.Before(t.item.Deadline) {
			kept = append(kept, t)
			continue
		}
		t.verdict <- verdict{pipeline.CodeDeadlinePassed}
	}
	d.alone = kept
}

func (d *Dispatcher) publishLoad() {
	d.load.Store(&Load{
		Queued: d.queue.Len() + len(d.alone) + d.limiter.InFlight(),
		Limit:  d.limiter.Limit(),
		Wait:   d.queue.Wait(),
	})
}

func (d *Dispatcher) refuseAll() {
	now := time.Now()
	for {
		item, ok := d.queue.Pop(now)
		if !ok {
			break
		}
		item.Payload.(*ticket).verdict <- verdict{pipeline.CodeBackendLeaving}
	}
	for _, t := range d.alone {
		t.verdict <- verdict{pipeline.CodeBackendLeaving}
	}
}
