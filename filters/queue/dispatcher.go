// Package queue holds the requests that wait for a slot of one local backend
// server.
package queue

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/concurrency"
	"github.com/ragwortyard/ragwortyard/decide/fairqueue"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
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
	leaves   chan departure
	cancels  chan uint64
	load     atomic.Pointer[Load]
	ids      atomic.Uint64
	service  time.Duration // smoothed time that a request holds a slot
	gate     *quarantine.Gate
	alone    []*ticket // suspects of a crash, which run with nothing else in flight
	owed     int       // queued requests that run before the next suspect
	options  Options
	finished chan struct{}
}

// Options connect a dispatcher with the control state.
type Options struct {
	Slots int
	// Standing returns what the fleet knows of a fingerprint.
	Standing func(now time.Time, f quarantine.Fingerprint) quarantine.FingerprintStatus
	// Report takes what was seen of suspects and crashes. It must not block.
	Report func([]quarantine.Report)
}

// verdict is the answer to a ticket.
type verdict struct {
	code  pipeline.Code // CodeOK grants a slot
	alone bool          // the request runs as a suspect
}

// ticket is one request that wants a slot.
type ticket struct {
	item        fairqueue.Item
	fingerprint quarantine.Fingerprint
	suspect     bool      // as the entry says, maybe ahead of the news
	giveUp      time.Time // when a suspect stops waiting
	verdict     chan verdict
}

// departure is the end of a request that held a slot.
type departure struct {
	id     uint64
	sample concurrency.Sample
	end    quarantine.RequestEnd
}

// backlog lets requests hand over tickets without waiting for the dispatcher in
// the usual case.
const backlog = 64

// maxAlone bounds the suspects that wait for one backend server. Each of them
// needs the server for itself, so a longer wait than for a few is better spent
// at another server.
const maxAlone = 4

// aloneWait is how long a suspect waits for one backend server. While it waits
// for what is in flight, nothing else starts there, so a stream of minutes would
// keep the server idle. Half a second covers ordinary requests.
const aloneWait = 500 * time.Millisecond

// NewDispatcher returns a dispatcher for one backend server.
func NewDispatcher(o Options) *Dispatcher {
	d := &Dispatcher{
		queue:    fairqueue.New(o.Slots),
		limiter:  concurrency.New(time.Now(), o.Slots),
		enters:   make(chan *ticket, backlog),
		leaves:   make(chan departure, backlog),
		cancels:  make(chan uint64, backlog),
		gate:     quarantine.NewGate(rand.Uint64()),
		options:  o,
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
		case l := <-d.leaves:
			d.leave(time.Now(), l)
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
		if !ok || t.giveUp.Before(next) {
			next, ok = t.giveUp, true
		}
	}
	return next, ok
}

func (d *Dispatcher) enter(now time.Time, t *ticket) {
	if t.suspect {
		d.waitAlone(now, t)
		return
	}
	refusal := d.queue.Push(now, t.item)
	if refusal.Reason != fairqueue.Accepted {
		refusal.Item.Payload.(*ticket).refuse(refusalCode(refusal.Reason))
	}
}

// waitAlone puts a suspect behind the others.
func (d *Dispatcher) waitAlone(now time.Time, t *ticket) {
	if len(d.alone) >= maxAlone {
		t.refuse(pipeline.CodeSuspectBusy)
		return
	}
	t.giveUp = now.Add(aloneWait)
	if t.item.Deadline.Before(t.giveUp) {
		t.giveUp = t.item.Deadline
	}
	d.alone = append(d.alone, t)
}

func (t *ticket) refuse(code pipeline.Code) { t.verdict <- verdict{code: code} }

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

// serviceSmoothing is the weight of one request in the mean time that a slot is
// held; about the last 16 requests count.
const serviceSmoothing = 16

func (d *Dispatcher) leave(now time.Time, l departure) {
	if d.gate.SuspectRunning() {
		d.owed = d.limiter.Limit()
	}
	if reports := d.gate.Leave(now, l.id, l.end); len(reports) > 0 {
		d.options.Report(reports)
	}
	d.limiter.Release(now, l.sample)
	d.learn(l.sample)
}

// learn takes a completed request into the pace of the queue.
func (d *Dispatcher) learn(s concurrency.Sample) {
	if s.Outcome != concurrency.Completed {
		return
	}
	if d.service == 0 {
		d.service = s.Latency
	}
	d.service += (s.Latency - d.service) / serviceSmoothing
	d.queue.SetServiceTimes(fairqueue.ServiceTimes{PopInterval: d.service / time.Duration(d.limiter.Limit()), ServiceTime: d.service})
}

func (d *Dispatcher) cancel(id uint64) {
	if item, ok := d.queue.Remove(id); ok {
		item.Payload.(*ticket).refuse(pipeline.CodeDeadlinePassed)
		return
	}
	for i, t := range d.alone {
		if t.item.ID == id {
			d.alone = append(d.alone[:i], d.alone[i+1:]...)
			t.refuse(pipeline.CodeDeadlinePassed)
			return
		}
	}
}

// dispatch grants free slots and refuses what has expired.
func (d *Dispatcher) dispatch(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		item.Payload.(*ticket).refuse(pipeline.CodeDeadlinePassed)
	}
	d.expireAlone(now)
	for !d.gate.SuspectRunning() {
		d.owed = min(d.owed, d.queue.Len())
		dispatch := d.dispatchNext
		if len(d.alone) > 0 && d.owed == 0 {
			dispatch = d.dispatchAlone
		}
		if !dispatch(now) {
			return
		}
	}
}

// dispatchNext grants a slot to the next request of the queue; false when none
// was taken from it.
func (d *Dispatcher) dispatchNext(now time.Time) bool {
	if d.queue.Len() == 0 || !d.limiter.Acquire(now) {
		return false
	}
	item, ok := d.queue.Pop(now)
	if !ok {
		d.limiter.Release(now, concurrency.Sample{Outcome: concurrency.Ignored})
		return false
	}
	d.owed = max(d.owed-1, 0)
	d.start(now, item.Payload.(*ticket))
	return true
}

// dispatchAlone grants the first suspect a slot once nothing else is in flight.
// While a suspect waits for that, no other request gets a slot. After it, as
// many queued requests as the server runs at once come before the next suspect,
// so that a row of suspects leaves the others half of the time or more.
func (d *Dispatcher) dispatchAlone(now time.Time) bool {
	if d.limiter.InFlight() > 0 || !d.limiter.Acquire(now) {
		return false
	}
	t := d.alone[0]
	d.alone = d.alone[1:]
	t.suspect = true
	d.start(now, t)
	return true
}

// start lets a request that has a slot run as its standing demands at this
// moment: the news of a crash may have come while it waited.
func (d *Dispatcher) start(now time.Time, t *ticket) {
	subject := d.options.Standing(now, t.fingerprint)
	if t.suspect {
		subject.Standing = max(subject.Standing, quarantine.Suspect)
	}
	switch d.gate.Enter(t.item.ID, subject) {
	case quarantine.AdmitNow:
		t.verdict <- verdict{code: pipeline.CodeOK, alone: subject.Standing == quarantine.Suspect}
		return
	case quarantine.AdmitLater:
		d.waitAlone(now, t)
	case quarantine.Reject:
		t.refuse(pipeline.CodeQuarantined)
	}
	d.limiter.Release(now, concurrency.Sample{Outcome: concurrency.Ignored})
}

// expireAlone sends suspects elsewhere that waited too long. Others come first
// then, as after a suspect that ran.
func (d *Dispatcher) expireAlone(now time.Time) {
	kept := d.alone[:0]
	for _, t := range d.alone {
		if now.Before(t.giveUp) {
			kept = append(kept, t)
			continue
		}
		t.refuse(pipeline.CodeSuspectBusy)
		d.owed = d.limiter.Limit()
	}
	d.alone = kept
}

func (d *Dispatcher) publishLoad() {
	d.load.Store(&Load{
		Queued: d.queue.Len() + len(d.alone) + d.limiter.InFlight(),
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
	for _, t := range d.alone {
		t.refuse(pipeline.CodeBackendLeaving)
	}
}
