// Package slots queues requests for an execution slot of the backend server of this
// host.
package slots

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/decide/slotqueue"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

const (
	// channelCapacity is large enough that sending to the queue's goroutine normally
	// does not block.
	channelCapacity = 64
	// minLoggedWait distinguishes attempts that waited from those refused on arrival.
	minLoggedWait = 5 * time.Millisecond
	// crashWindow is the time within which lost connections count as one crash.
	crashWindow = time.Second
)

// Queue owns the slots of one backend server. One goroutine runs it; the
// goroutines of requests communicate with it over channels.
type Queue struct {
	queue              *slotqueue.Queue
	arrivals           chan *ticket
	departures         chan departure
	cancellations      chan uint64
	withdrawals        chan withdrawal
	limits             chan observedLimit
	tickets            map[uint64]*ticket // tickets that wait or hold a slot, by ID
	withdrawn          withdrawnAttempts
	executed           executedAttempts // attempts that held a slot
	load               atomic.Pointer[pipeline.Load]
	retries            atomic.Pointer[retrySnapshot]
	lastID             atomic.Uint64
	limit              observedLimit                      // last observed limit of the server's rate
	named              atomic.Pointer[pipeline.RateLimit] // of limit
	refresh            chan struct{}                      // requests an update of the state of the server
	backend            func() Backend
	evacuated          bool // by the last update of backend
	cold               coldStarts
	evacuationRefusals atomic.Uint64
	undecided          atomic.Uint64
	refusals           refusals
	log                *zap.Logger
	postEvent          func(control.Event) bool
	lastCrashAt        time.Time
	closed             bool          // no slot is granted any more
	closing            chan struct{} // closed when no slot shall be granted any more
	closeOnce          sync.Once
	stopped            chan struct{}
}

// Backend is what the control loop knows about the backend server.
type Backend struct {
	Slots       int
	Evacuated   bool // its availability zone is evacuated
	WarmUpUntil time.Time
	WarmUpTime  time.Duration // after a start
	WarmUpRate  float64       // requests per second that it accepts while it is cold; 0 for no limit
}

// refusals counts attempts that were refused by the queue: on arrival because all places were
// taken or the expected wait exceeded its maximum, and, on arrival or after a wait, because they could not be
// answered before their deadline.
type refusals struct {
	queueFull, waitTooLong                 atomic.Uint64
	deadlineOnArrival, deadlineAfterWaited atomic.Uint64
}

// ticket is one request for a slot.
type ticket struct {
	item        slotqueue.Item
	attemptID   string
	originalID  string // identifier of the request at the backend server, which its calls name as their parent
	backend     string
	limit       pipeline.RateLimit // of the server, as the entry proxy knows it
	fingerprint crashcount.Fingerprint
	maxWait     time.Duration
	isRetry     bool
	arrived     time.Time
	decision    chan pipeline.Code
}

// departure is the end of a request that held a slot.
type departure struct {
	id      uint64
	held    time.Duration // 0 if it is not representative of the service time
	crashed bool          // the backend server crashed while the request ran
	lost    bool          // the backend server crashed or no connection to it could be opened
	reached bool          // the backend server answered
	granted time.Time
}

// observedLimit is the rate limit that a backend server named in an answer.
type observedLimit struct {
	backend string
	limit   pipeline.RateLimit
}

// withdrawal requests that an attempt never runs.
type withdrawal struct {
	attemptID string
	age       time.Duration // since it was sent
	reply     chan bool
}

// NewQueue returns a queue for a backend server with the given number of slots.
// postEvent sends an event to the control loop without waiting.
func NewQueue(slots int, postEvent func(control.Event) bool) *Queue {
	q := &Queue{
		queue:         slotqueue.New(slots, slotqueue.MaxWaiting),
		arrivals:      make(chan *ticket, channelCapacity),
		departures:    make(chan departure, channelCapacity),
		cancellations: make(chan uint64, channelCapacity),
		withdrawals:   make(chan withdrawal),
		limits:        make(chan observedLimit, channelCapacity),
		tickets:       make(map[uint64]*ticket),
		withdrawn:     newWithdrawnAttempts(),
		executed:      newExecutedAttempts(time.Now()),
		refresh:       make(chan struct{}, 1),
		cold:          coldStarts{log: zap.NewNop()},
		log:           zap.NewNop(),
		postEvent:     postEvent,
		closing:       make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	q.backend = func() Backend { return Backend{Slots: slots} }
	q.named.Store(&pipeline.RateLimit{})
	q.publishLoad(time.Now(), slots)
	return q
}

// SetLog sets the logger. It must be called before Run.
func (q *Queue) SetLog(log *zap.Logger) { q.log, q.cold.log = log, log }

// Refresh requests an update of the state of the backend server, without waiting.
func (q *Queue) Refresh() {
	select {
	case q.refresh <- struct{}{}:
	default:
	}
}

// ColdRefusals returns the number of attempts that were refused because the backend server
// was cold.
func (q *Queue) ColdRefusals() uint64 { return q.cold.refusals.Load() }

// EvacuationRefusals returns the number of waiting attempts that were refused because of an
// evacuation.
func (q *Queue) EvacuationRefusals() uint64 { return q.evacuationRefusals.Load() }

// UndecidedWithdrawals returns the number of withdrawals that were denied because the memory
// of attempts does not reach back to the sending of the attempt or is full.
func (q *Queue) UndecidedWithdrawals() uint64 { return q.undecided.Load() }

// DeadlineRefusals returns the numbers of attempts that were refused on arrival and after a
// wait because they could not be answered before their deadline.
func (q *Queue) DeadlineRefusals() (onArrival, afterWait uint64) {
	return q.refusals.deadlineOnArrival.Load(), q.refusals.deadlineAfterWaited.Load()
}

// ArrivalRefusals returns the numbers of attempts that were refused on arrival because all
// places in the queue were taken, and because the expected wait exceeded its maximum.
func (q *Queue) ArrivalRefusals() (queueFull, waitTooLong uint64) {
	return q.refusals.queueFull.Load(), q.refusals.waitTooLong.Load()
}

// Load returns the load after the last event.
func (q *Queue) Load() pipeline.Load { return *q.load.Load() }

// Run grants slots until ctx is done. Then it refuses all waiting requests. backend is
// called before each decision.
func (q *Queue) Run(ctx context.Context, backend func() Backend) {
	defer close(q.stopped)
	q.backend = backend
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	closing := q.closing
	for {
		select {
		case <-ctx.Done():
			q.refuseAll(pipeline.CodeStopping)
			return
		case <-closing:
			closing = nil
			q.closed = true
			q.refuseAll(pipeline.CodeStopping)
		case <-q.refresh:
		case t := <-q.arrivals:
			q.updateBackend(time.Now())
			q.handleArrival(time.Now(), t)
		case dep := <-q.departures:
			q.handleDeparture(time.Now(), dep)
		case id := <-q.cancellations:
			q.cancel(id)
		case w := <-q.withdrawals:
			w.reply <- q.withdraw(time.Now(), w)
		case l := <-q.limits:
			q.applyLimit(time.Now(), l)
		case <-timer.C:
		}
		now := time.Now()
		n := q.updateBackend(now)
		q.grantSlots(now)
		q.publishLoad(now, n)
		q.resetTimer(now, timer)
	}
}

// updateBackend applies the state of the backend server and returns its number of slots.
// An evacuation refuses all waiting requests; those that hold a slot keep it.
func (q *Queue) updateBackend(now time.Time) int {
	b := q.backend()
	q.queue.SetSlots(b.Slots)
	q.evacuated = b.Evacuated
	if b.Evacuated {
		q.evacuationRefusals.Add(uint64(q.queue.Waiting()))
		q.refuseAll(pipeline.CodeZoneEvacuated)
	}
	q.cold.update(now, q.queue, &b)
	return b.Slots
}

func (q *Queue) resetTimer(now time.Time, timer *time.Timer) {
	next, ok := q.queue.NextEvent(now)
	if end := q.cold.until; !end.IsZero() && (!ok || end.Before(next)) {
		next, ok = end, true
	}
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(max(time.Until(next), time.Millisecond))
}

func (q *Queue) publishLoad(now time.Time, slots int) {
	places, urgent := q.queue.TakenPlaces(pipeline.MaxUrgentRank)
	q.load.Store(&pipeline.Load{
		Running:         q.queue.Running(),
		Waiting:         places,
		Urgent:          urgent,
		Slots:           slots,
		MeanServiceTime: q.queue.ExpectedServiceTime(now),
		Limit:           q.cold.limit(q.limit.limit),
		StartWait:       q.queue.StartWait(now),
	})
	q.retries.Store(countRetries(q.tickets))
	q.postEvent(mesh.LoadChanged{})
}

// retrySnapshot records which requests at the backend server are retries. A request
// is a retry if an earlier attempt of it may have reached a backend server.
type retrySnapshot struct {
	retryByOriginalID map[string]bool
	retryFraction     float64
}

func countRetries(tickets map[uint64]*ticket) *retrySnapshot {
	r := &retrySnapshot{retryByOriginalID: make(map[string]bool, len(tickets))}
	n := 0
	for _, t := range tickets {
		r.retryByOriginalID[t.originalID] = t.isRetry
		if t.isRetry {
			n++
		}
	}
	r.retryFraction = float64(n) / float64(max(len(tickets), 1))
	return r
}

// RetryProbability returns the probability that a call by the backend server was
// made on behalf of a retried request. parent identifies that request. If it is not
// queued or running here, the result is the fraction of retries among all requests.
func (q *Queue) RetryProbability(parent string) float64 {
	r := q.retries.Load()
	isRetry, known := r.retryByOriginalID[parent]
	switch {
	case !known:
		return r.retryFraction
	case isRetry:
		return 1
	}
	return 0
}

func (q *Queue) handleArrival(now time.Time, t *ticket) {
	if q.withdrawn.contains(t.attemptID) {
		t.decision <- pipeline.CodeDuplicateSend
		return
	}
	if q.closed {
		t.decision <- pipeline.CodeStopping
		return
	}
	if q.evacuated {
		q.evacuationRefusals.Add(1)
		t.decision <- pipeline.CodeZoneEvacuated
		return
	}
	if t.backend != q.limit.backend {
		q.applyLimit(now, observedLimit{backend: t.backend}) // another server has the address
	}
	if t.limit.Limited && !q.limit.limit.Known && !q.limit.limit.Limited {
		q.applyLimit(now, observedLimit{backend: t.backend, limit: pipeline.RateLimit{Limited: true, PerSecond: t.limit.PerSecond}})
	}
	result, displaced := q.queue.Push(now, t.item, t.maxWait)
	for _, item := range displaced {
		q.refuse(item, pipeline.CodeQueueFull)
	}
	switch result {
	case slotqueue.Granted:
		q.tickets[t.item.ID] = t
		t.decision <- pipeline.CodeOK
	case slotqueue.Queued:
		q.tickets[t.item.ID] = t
	case slotqueue.QueueFull:
		q.cold.countRefusal(q.queue)
		q.refusals.queueFull.Add(1)
		q.logArrivalRefusal(now, t, "queue full")
		t.decision <- pipeline.CodeQueueFull
	case slotqueue.WaitTooLong:
		q.cold.countRefusal(q.queue)
		q.refusals.waitTooLong.Add(1)
		q.logArrivalRefusal(now, t, "wait too long")
		t.decision <- pipeline.CodeQueueFull
	case slotqueue.MissesDeadline:
		q.cold.countRefusal(q.queue)
		q.refusals.deadlineOnArrival.Add(1)
		code := pipeline.CodeQueueFull // another server may have a shorter queue
		if q.queue.IsTooLate(now, t.item) {
			code = pipeline.CodeDeadlineTooShort
		}
		q.logDeadlineRefusal(now, t, code)
		t.decision <- code
	}
}

// logArrivalRefusal logs that an attempt may not wait, with the data on which this was decided.
func (q *Queue) logArrivalRefusal(now time.Time, t *ticket, reason string) {
	q.log.Info("attempt may not wait for a slot", append(q.queueFields(now, t), zap.String("reason", reason),
		zap.Int64("max_wait_ms", t.maxWait.Milliseconds()))...)
}

// logDeadlineRefusal logs that an attempt cannot be answered before its deadline, with the
// data on which this was decided.
func (q *Queue) logDeadlineRefusal(now time.Time, t *ticket, code pipeline.Code) {
	q.log.Info("attempt cannot meet its deadline", append(q.queueFields(now, t), zap.Uint16("code", uint16(code)),
		zap.Int64("waited_ms", now.Sub(t.arrived).Milliseconds()))...)
}

// queueFields returns the data on which the queue decides on an attempt.
func (q *Queue) queueFields(now time.Time, t *ticket) []zap.Field {
	outlook := q.queue.Outlook(now, t.item)
	return []zap.Field{
		zap.String("attempt", t.attemptID), zap.String("backend", t.backend), zap.String("route", t.item.Route), zap.Int("rank", t.item.Rank),
		zap.Int64("left_ms", t.item.Deadline.Sub(now).Milliseconds()),
		zap.Int64("service_ms", q.queue.ServiceTime(now, t.item).Milliseconds()), zap.Int64("mean_service_ms", q.queue.MeanServiceTime().Milliseconds()),
		zap.Int("running", q.queue.Running()), zap.Int("waiting", q.queue.Waiting()),
		zap.Int("ahead", outlook.Ahead), zap.Int64("expected_wait_ms", outlook.Wait.Milliseconds()),
	}
}

func (q *Queue) handleDeparture(now time.Time, dep departure) {
	t := q.tickets[dep.id]
	if t == nil {
		return
	}
	if dep.crashed {
		q.reportCrash(now)
	}
	switch {
	case dep.lost:
		q.cold.warmUp.Lost(now)
	case dep.reached:
		q.cold.warmUp.Reached(now, dep.granted, q.backend().WarmUpTime)
	}
	q.executed.add(now, t.attemptID, t.item.Deadline)
	delete(q.tickets, dep.id)
	q.queue.Release(now, t.item, dep.held)
}

// ObserveLimit takes over the rate limit that a backend server named in an answer, or that
// it named none. It reports whether a limit began, changed or ended.
func (q *Queue) ObserveLimit(backend string, limit pipeline.RateLimit) bool {
	previous := *q.named.Load()
	if previous == limit {
		return false
	}
	select {
	case q.limits <- observedLimit{backend: backend, limit: limit}:
	case <-q.stopped:
	}
	return limit.Limited || previous.Limited
}

// applyLimit limits the rate at which requests start.
func (q *Queue) applyLimit(now time.Time, l observedLimit) {
	q.limit = l
	q.named.Store(&l.limit)
	if l.limit.Limited {
		q.queue.LimitStarts(now, l.limit.PerSecond)
	} else {
		q.queue.AllowAllStarts()
	}
}

// reportCrash reports the fingerprints of all requests in the queue or in flight
// when the first connection was lost in a crash.
func (q *Queue) reportCrash(now time.Time) {
	if now.Sub(q.lastCrashAt) < crashWindow {
		return
	}
	q.lastCrashAt = now
	crash := mesh.ServerCrashed{CrashID: rand.Uint64()}
	for _, t := range q.tickets {
		crash.InFlight = append(crash.InFlight, t.fingerprint)
	}
	q.postEvent(crash)
}

func (q *Queue) cancel(id uint64) {
	if item, ok := q.queue.Remove(id); ok {
		q.refuse(item, pipeline.CodeDeadlinePassed)
	}
}

// refuse answers a ticket that was removed from the queue.
func (q *Queue) refuse(item slotqueue.Item, code pipeline.Code) {
	t := item.Payload.(*ticket)
	delete(q.tickets, item.ID)
	t.decision <- code
}

// withdraw ensures that an attempt never runs. It reports false if the attempt holds a slot,
// or may have held one that is no longer remembered, possibly before this process was started.
func (q *Queue) withdraw(now time.Time, w withdrawal) bool {
	if q.executed.contains(w.attemptID) {
		return false
	}
	for id, t := range q.tickets {
		if t.attemptID != w.attemptID {
			continue
		}
		item, waiting := q.queue.Remove(id)
		if waiting {
			q.refuse(item, pipeline.CodeDuplicateSend)
		}
		return waiting
	}
	if !q.executed.rulesOut(now, w.attemptID, w.age) || !q.withdrawn.add(now, w.attemptID) {
		q.undecided.Add(1)
		return false
	}
	return true
}

// grantSlots grants free slots and refuses requests that would miss their deadline.
func (q *Queue) grantSlots(now time.Time) {
	for _, item := range q.queue.RemoveExpired(now) {
		q.cold.countRefusal(q.queue)
		q.refusals.deadlineAfterWaited.Add(1)
		q.logDeadlineRefusal(now, item.Payload.(*ticket), pipeline.CodeDeadlineTooShort)
		q.refuse(item, pipeline.CodeDeadlineTooShort)
	}
	for {
		item, ok := q.queue.Pop(now)
		if !ok {
			return
		}
		item.Payload.(*ticket).decision <- pipeline.CodeOK
	}
}

func (q *Queue) refuseAll(code pipeline.Code) {
	for _, item := range q.queue.Clear() {
		q.refuse(item, code)
	}
}

// Close refuses all waiting requests and all later ones. Requests that hold a slot keep
// it. Close may be called more than once.
func (q *Queue) Close() { q.closeOnce.Do(func() { close(q.closing) }) }

// Withdraw ensures that an attempt never runs. age is the time since it was sent. It
// reports false if the attempt holds a slot or may have held one.
func (q *Queue) Withdraw(ctx context.Context, attemptID string, age time.Duration) bool {
	w := withdrawal{attemptID: attemptID, age: age, reply: make(chan bool, 1)}
	select {
	case q.withdrawals <- w:
		return <-w.reply
	case <-q.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// Filter waits for a slot. The slot is released when the request completes.
type Filter struct {
	Queue *Queue
	// OriginalID returns the identifier under which the backend server knows the
	// request. Calls by the backend server name it as their parent.
	OriginalID func(req *pipeline.Request) string
	Log        *zap.Logger
}

// Name returns "slots".
func (f *Filter) Name() string { return "slots" }

// Handle returns when the request holds a slot or is refused.
func (f *Filter) Handle(ctx context.Context, req *pipeline.Request) *pipeline.Result {
	q := f.Queue
	t := &ticket{
		item:        slotqueue.Item{ID: q.lastID.Add(1), Route: req.Route, Rank: req.Rank, IsCall: req.IsCall, Deadline: req.Deadline},
		attemptID:   req.ID,
		originalID:  f.OriginalID(req),
		backend:     req.Backend,
		limit:       req.BackendLimit,
		fingerprint: crashcount.Fingerprint(req.Fingerprint),
		maxWait:     req.MaxQueueWait,
		isRetry:     req.ReachedBackend,
		arrived:     time.Now(),
		decision:    make(chan pipeline.Code, 1),
	}
	t.item.Payload = t
	select {
	case q.arrivals <- t:
	case <-q.stopped:
		return pipeline.Refuse(pipeline.CodeStopping, "")
	}
	if code := q.await(ctx, t); code != pipeline.CodeOK {
		f.logRefusal(req, code, time.Since(t.arrived))
		result := pipeline.Refuse(code, "")
		result.RetryAfter = q.retryAfter()
		return result
	}
	granted := time.Now()
	req.OnComplete(func(c pipeline.Completion) {
		dep := departure{id: t.item.ID, crashed: req.RunResult == pipeline.RunBackendCrashed, granted: granted}
		dep.lost = dep.crashed || c.Code == pipeline.CodeConnectFailed
		dep.reached = c.Outcome == pipeline.Answered || c.Code == pipeline.CodeShed || c.Code == pipeline.CodeWrongExit
		if c.Outcome == pipeline.Answered {
			dep.held = time.Since(granted)
			req.ServiceTime = dep.held
		}
		select {
		case q.departures <- dep:
		case <-q.stopped:
		}
	})
	return nil
}

// logRefusal logs that an attempt got no slot after it waited. The queue logs those that it
// refuses on arrival and those that cannot meet their deadline.
func (f *Filter) logRefusal(req *pipeline.Request, code pipeline.Code, waited time.Duration) {
	if waited < minLoggedWait || code == pipeline.CodeDeadlineTooShort {
		return
	}
	f.Log.Info("attempt got no slot", zap.String("attempt", req.ID), zap.String("backend", req.Backend),
		zap.Uint16("code", uint16(code)), zap.Int64("waited_ms", waited.Milliseconds()), zap.Int("rank", req.Rank))
}

// retryAfter returns the Retry-After of a refused request: one service time, or the time
// until another request may start.
func (q *Queue) retryAfter() time.Duration {
	load := q.Load()
	return max(load.MeanServiceTime, load.StartWait)
}

// await returns the decision on a ticket. If the caller cancels first, it removes
// the ticket and still waits for the decision, since a slot may have been granted at
// the same time.
func (q *Queue) await(ctx context.Context, t *ticket) pipeline.Code {
	select {
	case code := <-t.decision:
		return code
	case <-q.stopped:
		return q.decisionAfterStop(t)
	case <-ctx.Done():
	}
	select {
	case q.cancellations <- t.item.ID:
	case <-q.stopped:
		return q.decisionAfterStop(t)
	}
	// If a slot was granted at the same time, the request continues, and its canceled
	// context ends the call to the backend server immediately.
	select {
	case code := <-t.decision:
		return code
	case <-q.stopped:
		return q.decisionAfterStop(t)
	}
}

// decisionAfterStop returns the decision that was made before the queue stopped, or a
// refusal.
func (q *Queue) decisionAfterStop(t *ticket) pipeline.Code {
	select {
	case code := <-t.decision:
		return code
	default:
		return pipeline.CodeStopping
	}
}
