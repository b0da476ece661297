// Package queue queues requests for an execution slot of one local backend server.
package queue

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/servicetime"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Load is the load of one backend server.
type Load struct {
	Queued int           // requests that wait or run
	Limit  int           // current concurrency limit
	Wait   time.Duration // expected wait of a new request
}

// Dispatcher owns the slots and the queue of one backend server. One goroutine
// runs it; the goroutines of requests communicate with it over channels.
type Dispatcher struct {
	queue               *fairqueue.Queue
	limiter             *concurrency.Limiter
	arrivals            chan *ticket
	departures          chan departure
	cancellations       chan uint64
	load                atomic.Pointer[Load]
	lastID              atomic.Uint64
	meanServiceTime     time.Duration // moving average of the time that a request holds a slot
	gate                *quarantine.Gate
	waitingSuspects     []*ticket // crash suspects, which run with no other request in flight
	queuedBeforeSuspect int       // number of queued requests that run before the next suspect
	options             Options
	stopped             chan struct{}
}

// Options holds the settings of a dispatcher.
type Options struct {
	Slots int
	// FingerprintStatus returns what the fleet knows about a fingerprint.
	FingerprintStatus func(now time.Time, f quarantine.Fingerprint) quarantine.FingerprintStatus
	// Report receives the completions of suspects and the crashes. It must not block.
	Report func([]quarantine.Report)
}

// decision is the dispatcher's answer to a ticket.
type decision struct {
	code      pipeline.Code // CodeOK grants a slot
	asSuspect bool          // the request runs as a suspect
}

// ticket is one request for a slot.
type ticket struct {
	item        fairqueue.Item
	fingerprint quarantine.Fingerprint
	suspect     bool      // set by the entry proxy, possibly before the report of the crash arrives
	waitUntil   time.Time // when a suspect stops waiting
	decision    chan decision
}

// departure is the end of a request that held a slot.
type departure struct {
	id     uint64
	sample concurrency.Sample
	end    quarantine.RequestEnd
}

// channelCapacity is large enough that sending to the dispatcher normally does not
// block.
const channelCapacity = 64

// maxWaitingSuspects is the maximum number of suspects that wait for one backend
// server. Each of them needs the server to itself, so further suspects are served
// sooner by another server.
const maxWaitingSuspects = 4

// maxSuspectWait is how long a suspect waits for one backend server. No other request
// starts while it waits for the requests in flight, so a long stream would leave the
// server idle for minutes. Ordinary requests end within half a second.
const maxSuspectWait = 500 * time.Millisecond

// NewDispatcher returns a dispatcher for one backend server.
func NewDispatcher(o Options) *Dispatcher {
	d := &Dispatcher{
		queue:         fairqueue.New(o.Slots),
		limiter:       concurrency.New(time.Now(), o.Slots),
		arrivals:      make(chan *ticket, channelCapacity),
		departures:    make(chan departure, channelCapacity),
		cancellations: make(chan uint64, channelCapacity),
		gate:          quarantine.NewGate(rand.Uint64()),
		options:       o,
		stopped:       make(chan struct{}),
	}
	d.publishLoad()
	return d
}

// Load returns the load after the last event.
func (d *Dispatcher) Load() Load {
	return *d.load.Load()
}

// Run grants slots until ctx is done. Then it refuses all waiting requests.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseAll()
			return
		case t := <-d.arrivals:
			d.handleArrival(time.Now(), t)
		case dep := <-d.departures:
			d.handleDeparture(time.Now(), dep)
		case id := <-d.cancellations:
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
	for _, t := range d.waitingSuspects {
		if !ok || t.waitUntil.Before(next) {
			next, ok = t.waitUntil, true
		}
	}
	return next, ok
}

func (d *Dispatcher) handleArrival(now time.Time, t *ticket) {
	if t.suspect {
		d.queueSuspect(now, t)
		return
	}
	refusal := d.queue.Push(now, t.item)
	if refusal.Reason != fairqueue.Accepted {
		refusal.Item.Payload.(*ticket).refuse(refusalCode(refusal.Reason))
	}
}

// queueSuspect adds a suspect to the end of the suspects' queue.
func (d *Dispatcher) queueSuspect(now time.Time, t *ticket) {
	if len(d.waitingSuspects) >= maxWaitingSuspects {
		t.refuse(pipeline.CodeSuspectBusy)
		return
	}
	t.waitUntil = now.Add(maxSuspectWait)
	if t.item.Deadline.Before(t.waitUntil) {
		t.waitUntil = t.item.Deadline
	}
	d.waitingSuspects = append(d.waitingSuspects, t)
}

func (t *ticket) refuse(code pipeline.Code) { t.decision <- decision{code: code} }

func refusalCode(reason fairqueue.Reason) pipeline.Code {
	switch reason {
	case fairqueue.QueueFull:
		return pipeline.CodeQueueFull
	case fairqueue.DeadlineTooShort:
		return pipeline.CodeDeadlineTooShort
	default:
		return pipeline.CodeDeadlinePassed
	}
}

func (d *Dispatcher) handleDeparture(now time.Time, dep departure) {
	if d.gate.SuspectRunning() {
		d.queuedBeforeSuspect = d.limiter.Limit()
	}
	if reports := d.gate.Leave(now, dep.id, dep.end); len(reports) > 0 {
		d.options.Report(reports)
	}
	d.limiter.Release(now, dep.sample)
	d.updateServiceTimes(now, dep.sample)
}

// updateServiceTimes updates the service times with a completed request and passes them to
// the queue.
func (d *Dispatcher) updateServiceTimes(now time.Time, s concurrency.Sample) {
	if s.Outcome != concurrency.Completed {
		return
	}
	d.queue.ObserveServiceTime(now, s.Class, s.Latency)
	d.meanServiceTime = servicetime.Smooth(d.meanServiceTime, s.Latency)
	d.queue.SetServiceTimes(fairqueue.ServiceTimes{PopInterval: d.meanServiceTime / time.Duration(d.limiter.Limit()), ServiceTime: d.meanServiceTime})
}

func (d *Dispatcher) cancel(id uint64) {
	if item, ok := d.queue.Remove(id); ok {
		item.Payload.(*ticket).refuse(pipeline.CodeDeadlinePassed)
		return
	}
	for i, t := range d.waitingSuspects {
		if t.item.ID == id {
			d.waitingSuspects = append(d.waitingSuspects[:i], d.waitingSuspects[i+1:]...)
			t.refuse(pipeline.CodeDeadlinePassed)
			return
		}
	}
}

// dispatch grants free slots and refuses requests that have expired.
func (d *Dispatcher) dispatch(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		item.Payload.(*ticket).refuse(pipeline.CodeDeadlinePassed)
	}
	d.expireSuspects(now)
	for !d.gate.SuspectRunning() {
		d.queuedBeforeSuspect = min(d.queuedBeforeSuspect, d.queue.Len())
		dispatch := d.dispatchNext
		if len(d.waitingSuspects) > 0 && d.queuedBeforeSuspect == 0 {
			dispatch = d.dispatchSuspect
		}
		if !dispatch(now) {
			return
		}
	}
}

// dispatchNext grants a slot to the next request of the queue. It reports false if
// none was removed from the queue.
func (d *Dispatcher) dispatchNext(now time.Time) bool {
	if d.queue.Len() == 0 || !d.limiter.Acquire(now) {
		return false
	}
	item, ok := d.queue.Pop(now)
	if !ok {
		d.limiter.Release(now, concurrency.Sample{Outcome: concurrency.Ignored})
		return false
	}
	d.queuedBeforeSuspect = max(d.queuedBeforeSuspect-1, 0)
	d.startRequest(now, item.Payload.(*ticket))
	return true
}

// dispatchSuspect grants the first suspect a slot if no other request is in flight.
// While a suspect waits for that, no other request gets a slot. After it, as many
// queued requests as the concurrency limit run before the next suspect, so that a
// series of suspects leaves at least half of the time to other requests.
func (d *Dispatcher) dispatchSuspect(now time.Time) bool {
	if d.limiter.InFlight() > 0 || !d.limiter.Acquire(now) {
		return false
	}
	t := d.waitingSuspects[0]
	d.waitingSuspects = d.waitingSuspects[1:]
	t.suspect = true
	d.startRequest(now, t)
	return true
}

// startRequest starts a request that has a slot, queues it as a suspect or refuses
// it, depending on its current standing: a crash may have been reported while it
// waited.
func (d *Dispatcher) startRequest(now time.Time, t *ticket) {
	subject := d.options.FingerprintStatus(now, t.fingerprint)
	if t.suspect {
		subject.Standing = max(subject.Standing, quarantine.Suspect)
	}
	switch d.gate.Enter(t.item.ID, subject) {
	case quarantine.AdmitNow:
		t.decision <- decision{code: pipeline.CodeOK, asSuspect: subject.Standing == quarantine.Suspect}
		return
	case quarantine.AdmitLater:
		d.queueSuspect(now, t)
	case quarantine.Reject:
		t.refuse(pipeline.CodeQuarantined)
	}
	d.limiter.Release(now, concurrency.Sample{Outcome: concurrency.Ignored})
}

// expireSuspects refuses suspects that have waited too long; the entry proxy can
// send them elsewhere. Queued requests then run before the next suspect, as after a
// suspect that ran.
func (d *Dispatcher) expireSuspects(now time.Time) {
	kept := d.waitingSuspects[:0]
	for _, t := range d.waitingSuspects {
		if now.Before(t.waitUntil) {
			kept = append(kept, t)
			continue
		}
		t.refuse(pipeline.CodeSuspectBusy)
		d.queuedBeforeSuspect = d.limiter.Limit()
	}
	d.waitingSuspects = kept
}

func (d *Dispatcher) publishLoad() {
	d.load.Store(&Load{
		Queued: d.queue.Len() + len(d.waitingSuspects) + d.limiter.InFlight(),
		Limit:  d.limiter.Limit(),
		Wait:   d.queue.EstimatedWait(),
	})
}

func (d *Dispatcher) refuseAll() {
	now := time.Now()
	for {
		item, ok := d.queue.Pop(now)
		if !ok {
			break
		}
		item.Payload.(*ticket).refuse(pipeline.CodeBackendLeaving)
	}
	for _, t := range d.waitingSuspects {
		t.refuse(pipeline.CodeBackendLeaving)
	}
}
