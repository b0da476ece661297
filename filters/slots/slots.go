// Package slots lets a request wait for a slot of the backend server of this
// host.
package slots

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

const (
	// waitingPerSlot bounds the requests that wait: four service times.
	waitingPerSlot = 4
	// backlog lets requests hand over tickets without waiting in the usual case.
	backlog = 64
	// attemptMemory is how long a withdrawn attempt is refused when it arrives
	// after all, and how long an attempt that has run is not confirmed as withdrawn.
	// Data that is not acknowledged closes a connection after 2 s, and no attempt
	// outlives the deadline of its request.
	attemptMemory = 30 * time.Second
	// crashWindow is the time in which broken calls count as one crash.
	crashWindow = time.Second
)

// Queue owns the slots of one backend server. One goroutine runs it; the
// goroutines of requests talk to it over channels.
type Queue struct {
	queue     *slotqueue.Queue
	enters    chan *ticket
	leaves    chan leave
	cancels   chan uint64
	withdraws chan withdrawal
	tickets   map[uint64]*ticket // that wait or run
	withdrawn memory
	ran       memory // attempts that held a slot
	started   time.Time
	load      atomic.Pointer[pipeline.Load]
	repeats   atomic.Pointer[repeats]
	ids       atomic.Uint64
	post      func(control.Event) bool
	crashedAt time.Time
	finished  chan struct{}
}

// ticket is one request that wants a slot.
type ticket struct {
	item        slotqueue.Item
	attempt     string
	original    string // identifier under which the backend server knows the request
	fingerprint crashcount.Fingerprint
	wait        time.Duration
	repeat      bool
	verdict     chan pipeline.Code
}

// leave is the end of a request that held a slot.
type leave struct {
	id     uint64
	held   time.Duration // 0 when it says nothing about the service time
	broken bool          // the backend server died during the run
}

// withdrawal asks that an attempt never runs.
type withdrawal struct {
	attempt string
	age     time.Duration // since it was sent
	reply   chan bool
}

// NewQueue returns a queue for a backend server with the given slots. post takes
// events for the control loop.
func NewQueue(slots int, post func(control.Event) bool) *Queue {
	q := &Queue{
		queue:     slotqueue.New(slots, waitingPerSlot*slots),
		enters:    make(chan *ticket, backlog),
		leaves:    make(chan leave, backlog),
		cancels:   make(chan uint64, backlog),
		withdraws: make(chan withdrawal),
		tickets:   make(map[uint64]*ticket),
		started:   time.Now(),
		post:      post,
		finished:  make(chan struct{}),
	}
	q.publish(slots)
	return q
}

// Load returns the load at the last change.
func (q *Queue) Load() pipeline.Load { return *q.load.Load() }

// Run serves tickets until ctx is done; then it refuses all that wait. slots is
// asked for the number of slots before each decision.
func (q *Queue) Run(ctx context.Context, slots func() int) {
	defer close(q.finished)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			q.refuseAll()
			return
		case t := <-q.enters:
			q.enter(time.Now(), t)
		case l := <-q.leaves:
			q.leave(time.Now(), l)
		case id := <-q.cancels:
			q.cancel(id)
		case w := <-q.withdraws:
			w.reply <- q.withdraw(time.Now(), w)
		case <-timer.C:
		}
		n := slots()
		q.queue.SetSlots(n)
		q.serve(time.Now())
		q.publish(n)
		q.resetTimer(timer)
	}
}

func (q *Queue) resetTimer(timer *time.Timer) {
	next, ok := q.queue.NextExpiry()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(max(time.Until(next), time.Millisecond))
}

func (q *Queue) publish(slots int) {
	q.load.Store(&pipeline.Load{
		Running:         q.queue.Running(),
		Waiting:         q.queue.Waiting(),
		Urgent:          q.queue.WaitingWithRankUpTo(pipeline.MaxUrgentRank),
		Slots:           slots,
		MeanServiceTime: q.queue.MeanServiceTime(),
	})
	q.repeats.Store(countRepeats(q.tickets))
	q.post(mesh.LoadChanged{})
}

// repeats says which of the requests at the backend server are repeats.
type repeats struct {
	known map[string]bool // by original identifier
	share float64
}

func countRepeats(tickets map[uint64]*ticket) *repeats {
	r := &repeats{known: make(map[string]bool, len(tickets))}
	n := 0
	for _, t := range tickets {
		r.known[t.original] = t.repeat
		if t.repeat {
			n++
		}
	}
	r.share = float64(n) / float64(max(len(tickets), 1))
	return r
}

// Repeated returns the probability that a call of the backend server was made by
// a request that is a repeat. parent identifies that request; when it does not
// run here, the share of repeats among all counts.
func (q *Queue) Repeated(parent string) float64 {
	r := q.repeats.Load()
	repeat, known := r.known[parent]
	switch {
	case !known:
		return r.share
	case repeat:
		return 1
	}
	return 0
}

func (q *Queue) enter(now time.Time, t *ticket) {
	if q.withdrawn.has(now, t.attempt) {
		t.verdict <- pipeline.CodeDuplicateSend
		return
	}
	switch q.queue.Push(now, t.item, t.wait) {
	case slotqueue.Granted:
		q.tickets[t.item.ID] = t
		t.verdict <- pipeline.CodeOK
	case slotqueue.Queued:
		q.tickets[t.item.ID] = t
	case slotqueue.Refused:
		t.verdict <- pipeline.CodeQueueFull
	case slotqueue.MissesDeadline:
		t.verdict <- pipeline.CodeDeadlineTooShort
	}
}

func (q *Queue) leave(now time.Time, l leave) {
	t := q.tickets[l.id]
	if t == nil {
		return
	}
	if l.broken {
		q.reportCrash(now)
	}
	q.ran.add(now, t.attempt, attemptMemory)
	delete(q.tickets, l.id)
	q.queue.Release(l.held)
}

// reportCrash names all requests in flight at the first broken call of a crash.
func (q *Queue) reportCrash(now time.Time) {
	if now.Sub(q.crashedAt) < crashWindow {
		return
	}
	q.crashedAt = now
	crash := mesh.ServerCrashed{CrashID: rand.Uint64()}
	for _, t := range q.tickets {
		crash.InFlight = append(crash.InFlight, t.fingerprint)
	}
	q.post(crash)
}

func (q *Queue) cancel(id uint64) {
	if item, ok := q.queue.Remove(id); ok {
		q.drop(item, pipeline.CodeDeadlinePassed)
	}
}

func (q *Queue) drop(item slotqueue.Item, code pipeline.Code) {
	t := item.Payload.(*ticket)
	delete(q.tickets, item.ID)
	t.verdict <- code
}

// withdraw makes sure that an attempt never runs; false when it holds a slot or
// may have held one: also before this process was started.
func (q *Queue) withdraw(now time.Time, w withdrawal) bool {
	if q.ran.has(now, w.attempt) || now.Sub(q.started) <= w.age {
		return false
	}
	for id, t := range q.tickets {
		if t.attempt != w.attempt {
			continue
		}
		item, waits := q.queue.Remove(id)
		if waits {
			q.drop(item, pipeline.CodeDuplicateSend)
		}
		return waits
	}
	q.withdrawn.add(now, w.attempt, attemptMemory)
	return true
}

// serve grants free slots and refuses what is too late.
func (q *Queue) serve(now time.Time) {
	for _, item := range q.queue.RemoveExpired(now) {
		q.drop(item, pipeline.CodeDeadlineTooShort)
	}
	for {
		item, ok := q.queue.Pop(now)
		if !ok {
			return
		}
		item.Payload.(*ticket).verdict <- pipeline.CodeOK
	}
}

func (q *Queue) refuseAll() {
	for _, item := range q.queue.Clear() {
		q.drop(item, pipeline.CodeStopping)
	}
}

// Withdraw makes sure that an attempt, sent some time ago, never runs. It reports
// false when it holds a slot or may have held one.
func (q *Queue) Withdraw(ctx context.Context, attempt string, age time.Duration) bool {
	w := withdrawal{attempt: attempt, age: age, reply: make(chan bool, 1)}
	select {
	case q.withdraws <- w:
		return <-w.reply
	case <-q.finished:
		return false
	case <-ctx.Done():
		return false
	}
}

// Filter waits for a slot. The slot is given back when the request completes.
type Filter struct {
	Queue *Queue
	// Original returns the identifier under which the backend server knows a
	// request.
	Original func(req *pipeline.Request) string
}

// Name returns "slots".
func (f *Filter) Name() string { return "slots" }

// Handle returns once the request holds a slot or is refused.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	q := f.Queue
	t := &ticket{
		item:        slotqueue.Item{ID: q.ids.Add(1), Rank: req.Rank, Deadline: req.Deadline},
		attempt:     req.ID,
		original:    f.Original(req),
		fingerprint: crashcount.Fingerprint(req.Fingerprint),
		wait:        req.MaxQueueWait,
		repeat:      req.ReachedBackend,
		verdict:     make(chan pipeline.Code, 1),
	}
	t.item.Payload = t
	select {
	case q.enters <- t:
	case <-q.finished:
		return pipeline.Refuse(pipeline.CodeStopping, "")
	}
	if code := q.await(ctx, t); code != pipeline.CodeOK {
		result := pipeline.Refuse(code, "")
		result.RetryAfter = q.queueTime()
		return result
	}
	granted := time.Now()
	req.OnComplete(func(c pipeline.Completion) {
		l := leave{id: t.item.ID, broken: req.RunResult == pipeline.RunBackendCrashed}
		if c.Outcome == pipeline.Answered {
			l.held = time.Since(granted)
		}
		select {
		case q.leaves <- l:
		case <-q.finished:
		}
	})
	return nil
}

// queueTime is the advice to a refused request: a service time.
func (q *Queue) queueTime() time.Duration { return q.Load().MeanServiceTime }

// await returns the verdict. When the caller goes away first, it withdraws the
// ticket and still waits for the verdict, since a slot may have been granted at
// the same moment.
func (q *Queue) await(ctx context.Context, t *ticket) pipeline.Code {
	select {
	case code := <-t.verdict:
		return code
	case <-q.finished:
		return q.afterEnd(t)
	case <-ctx.Done():
	}
	select {
	case q.cancels <- t.item.ID:
	case <-q.finished:
		return q.afterEnd(t)
	}
	// A request that was granted at the same moment goes on: its context ends the
	// call to the backend server at once.
	select {
	case code := <-t.verdict:
		return code
	case <-q.finished:
		return q.afterEnd(t)
	}
}

func (q *Queue) afterEnd(t *ticket) pipeline.Code {
	select {
	case code := <-t.verdict:
		return code
	default:
		return pipeline.CodeStopping
	}
}
