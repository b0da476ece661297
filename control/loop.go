package control

import (
	"context"
	"sync/atomic"
	"time"
)

// eventQueueCapacity is the capacity of the event queue. At 104 requests per second
// a node posts a few hundred events per second, so a full queue means that the loop
// is several seconds behind. Events are then dropped to bound memory.
const eventQueueCapacity = 4096

// Event is an input of the control loop.
type Event interface{ ControlEvent() }

// Stage handles events in the control loop. Only the loop goroutine calls it.
type Stage interface {
	Name() string
	// Handle reacts to an event; stages ignore events that do not concern them.
	Handle(now time.Time, ev Event, out *Output)
	// Deadline returns when the stage next wants a Tick; the zero time means never.
	Deadline() time.Time
}

// Tick tells the stages that a deadline has passed.
type Tick struct{}

// ControlEvent marks Tick as an event.
func (Tick) ControlEvent() {}

// Command is an action that an outbound worker executes.
type Command interface{ ControlCommand() }

// Outbound executes the commands of the loop. Send must not block; it reports
// false if the command was dropped.
type Outbound interface {
	Send(cmd Command) bool
}

// Output collects the commands that the stages emit while they handle one event.
type Output struct {
	commands []Command
	publish  bool
}

// Emit adds a command for the outbound workers.
func (o *Output) Emit(cmd Command) {
	o.commands = append(o.commands, cmd)
}

// Publish requests a new snapshot after the event.
func (o *Output) Publish() {
	o.publish = true
}

// Stats holds the counters of the loop.
type Stats struct {
	Events          atomic.Uint64
	DroppedEvents   atomic.Uint64
	DroppedCommands atomic.Uint64
	Snapshots       atomic.Uint64
}

// Loop is the event loop that owns the control state of a process.
type Loop[S any] struct {
	events        chan Event
	stages        []Stage
	outbound      Outbound
	buildSnapshot func(now time.Time) *S
	snapshot      atomic.Pointer[S]
	stats         Stats
	output        Output
}

// NewLoop returns a loop over the stages. build makes a snapshot from the state
// that the stages own; the loop calls it after an event that changed something.
func NewLoop[S any](stages []Stage, build func(now time.Time) *S, outbound Outbound) *Loop[S] {
	l := &Loop[S]{
		events:        make(chan Event, eventQueueCapacity),
		stages:        stages,
		outbound:      outbound,
		buildSnapshot: build,
	}
	l.snapshot.Store(build(time.Now()))
	return l
}

// Snapshot returns the latest snapshot. It is immutable.
func (l *Loop[S]) Snapshot() *S {
	return l.snapshot.Load()
}

// Stats returns the counters of the loop.
func (l *Loop[S]) Stats() *Stats {
	return &l.stats
}

// Post passes an event to the loop without waiting. It reports false, and counts
// the event as dropped, when the queue is full.
func (l *Loop[S]) Post(ev Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		l.stats.DroppedEvents.Add(1)
		return false
	}
}

// Submit passes an event to the loop and waits for room in the queue.
func (l *Loop[S]) Submit(ctx context.Context, ev Event) error {
	select {
	case l.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run handles events until ctx is done. It blocks on the event channel and on
// the earliest deadline of the stages.
func (l *Loop[S]) Run(ctx context.Context) {
	timer := time.NewTimer(l.untilDeadline(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.Step(time.Now(), ev)
		case <-timer.C:
			l.Step(time.Now(), Tick{})
		}
		timer.Reset(l.untilDeadline(time.Now()))
	}
}

// Step handles one event. Callers that simulate time call it instead of Run.
func (l *Loop[S]) Step(now time.Time, ev Event) {
	l.stats.Events.Add(1)
	for _, stage := range l.stages {
		stage.Handle(now, ev, &l.output)
	}
	l.flush(now)
}

func (l *Loop[S]) flush(now time.Time) {
	if l.output.publish {
		l.snapshot.Store(l.buildSnapshot(now))
		l.stats.Snapshots.Add(1)
	}
	for i, cmd := range l.output.commands {
		if !l.outbound.Send(cmd) {
			l.stats.DroppedCommands.Add(1)
		}
		l.output.commands[i] = nil
	}
	l.output.commands = l.output.commands[:0]
	l.output.publish = false
}

// maxWait is the longest wait of the loop when no stage has a deadline.
const maxWait = time.Minute

// minWait prevents a busy loop when the deadline of a stage stays in the past.
const minWait = time.Millisecond

// NextDeadline returns when the stages next want a Tick, at most maxWait ahead.
func (l *Loop[S]) NextDeadline(now time.Time) time.Time {
	return now.Add(l.untilDeadline(now))
}

func (l *Loop[S]) untilDeadline(now time.Time) time.Duration {
	wait := maxWait
	for _, stage := range l.stages {
		deadline := stage.Deadline()
		if deadline.IsZero() {
			continue
		}
		wait = min(wait, deadline.Sub(now))
	}
	return max(wait, minWait)
}
