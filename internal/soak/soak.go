package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/internal/fakebackend"
	"github.com/ragwortyard/ragwortyard/platform"
)

// Options of a run.
type Options struct {
	Binary string        // the program
	Hosts  int           // each has a process of the program
	Length time.Duration // of the traffic, faults and settling included
	Logs   string        // folder for the logs of the processes
}

// Check tells whether the options make a run.
func (o Options) Check() error {
	switch {
	case o.Hosts < 2 || o.Hosts > 250:
		return eris.Errorf("a run has 2 to 250 hosts, not %d", o.Hosts)
	case o.Length < warmUp+settle+longest:
		return eris.Errorf("a run lasts at least %v, not %v", warmUp+settle+longest, o.Length)
	}
	_, err := os.Stat(o.Binary)
	return eris.Wrap(err, "the program to soak")
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Schedule   []Action
	Requests   int
	Answered   int
	Violations []Violation
	Logs       string
}

// startTime is how long processes may take until traffic begins.
const startTime = 3 * time.Second

// Run plays one seed. block is the second part of the IP numbers that it uses, 20
// to 250; runs at the same time need blocks of their own.
func Run(ctx context.Context, o Options, seed uint64, block int) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir := filepath.Join(o.Logs, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, eris.Wrap(err, "folder for logs")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, o, seed, block, dir)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "start of a run")
	}
	wait(ctx, startTime)
	schedule := recorded(seed)
	if schedule == nil {
		schedule = NewSchedule(seed, o.Hosts, o.Length)
	}
	w.play(ctx, seed, schedule, o.Length)
	return &Report{
		Seed: seed, Schedule: schedule, Logs: dir,
		Requests: len(w.ledger.requests), Answered: w.ledger.answered, Violations: w.ledger.violations,
	}, nil
}

// play runs the traffic and the faults.
func (w *world) play(ctx context.Context, seed uint64, schedule []Action, length time.Duration) {
	w.ledger.began = time.Now()
	traffic, stop := context.WithTimeout(ctx, length)
	defer stop()
	var open sync.WaitGroup
	for i := range w.hosts {
		open.Go(func() { newCallers(w, i, seed).run(traffic) })
	}
	for _, action := range schedule {
		wait(traffic, action.At-time.Since(w.ledger.began))
		open.Go(func() { w.apply(traffic, action) })
	}
	<-traffic.Done()
	open.Wait()
	w.ledger.recovered(w.ledger.began.Add(length - settle/2))
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// apply carries out one action and ends it.
func (w *world) apply(ctx context.Context, a Action) {
	now := time.Now()
	if a.Host < 0 {
		w.applyToFleet(ctx, a, now)
		return
	}
	h := w.hosts[a.Host]
	switch a.Kind {
	case Terminate:
		w.ledger.planned(a.Host, now)
		w.must(h.process.replace(syscall.SIGTERM, graceTime))
		return
	case Reload:
		h.process.signal(syscall.SIGHUP)
		return
	case ServerDrain:
		w.drain(ctx, h)
		return
	case ServerCrash:
		w.ledger.disturb(a.Host, now, now.Add(a.For+contact))
		w.crash(ctx, h, a.For)
		return
	case Kill:
		w.ledger.disturb(a.Host, now, now.Add(restartDelay+contact))
		w.must(h.process.replace(syscall.SIGKILL, graceTime))
		return
	}
	w.ledger.disturb(a.Host, now, now.Add(a.For+contact))
	w.hold(ctx, h, a)
}

// hold sets a fault, waits and ends it.
func (w *world) hold(ctx context.Context, h *host, a Action) {
	switch a.Kind {
	case Pause:
		h.process.signal(syscall.SIGSTOP)
		defer h.process.signal(syscall.SIGCONT)
	case StoreCut:
		h.toStore.cutOut.Store(true)
		defer h.toStore.resetAll() // what was lost never comes
		defer h.toStore.cutOut.Store(false)
	case StoreReset:
		h.toStore.resetAll()
	case LinkDelay:
		h.link.delay.Store(int64(80 * time.Millisecond))
		defer h.link.delay.Store(0)
	case LinkSilent:
		h.link.silence()
	case LinkCutIn:
		h.link.cutIn.Store(true)
		defer h.link.cutIn.Store(false)
	case LinkCutOut:
		h.link.cutOut.Store(true)
		defer h.link.cutOut.Store(false)
	case LinkReset:
		h.link.resetAll()
	case Isolated:
		h.toStore.cutOut.Store(true)
		w.grams.lost[h.index].Store(true)
		defer h.toStore.resetAll()
		defer h.toStore.cutOut.Store(false)
		defer w.grams.lost[h.index].Store(false)
		w.withdrawKey()
	case DatagramsLost:
		w.grams.lost[h.index].Store(true)
		defer w.grams.lost[h.index].Store(false)
	default:
		h.backend.SetFaults(serverFaults[a.Kind])
		defer h.backend.SetFaults(fakebackend.Faults{})
	}
	wait(ctx, a.For)
}

var serverFaults = map[Kind]fakebackend.Faults{
	ServerFails:  {Fail: true},
	ServerHangs:  {Hang: true},
	ServerResets: {Reset: true},
	ServerSlow:   {Slow: 5},
}

func (w *world) applyToFleet(ctx context.Context, a Action, now time.Time) {
	switch a.Kind {
	case KeyWithdrawn:
		w.withdrawKey()
	case RouteChanged:
		w.publish(func(doc *routing.Config) {
			part := &doc.Routes[1].WeightedServices[0]
			if part.Service == serviceA {
				part.Service = serviceB
			} else {
				part.Service = serviceA
			}
		})
	case StoreCompact:
		w.store.Compact()
	case StoreDown:
		w.ledger.disturb(-1, now, now.Add(a.For+contact))
		w.store.SetDown(true)
		wait(ctx, a.For)
		w.store.SetDown(false)
	case TerminateMany:
		var open sync.WaitGroup
		for i := 0; i < len(w.hosts); i += 3 {
			open.Go(func() { w.apply(ctx, Action{Kind: Terminate, Host: i}) })
			wait(ctx, restartDelay)
		}
		open.Wait()
	case KillEverything:
		w.ledger.disturb(-1, now, now.Add(restartDelay+2*contact))
		var open sync.WaitGroup
		for _, h := range w.hosts {
			open.Go(func() { w.must(h.process.replace(syscall.SIGKILL, graceTime)) })
		}
		open.Wait()
	}
}

// drain lets the server of a host announce that it leaves, serve on for the drain
// time, end, and come back under another identifier.
func (w *world) drain(ctx context.Context, h *host) {
	h.mu.Lock()
	if h.away {
		h.mu.Unlock()
		return // another fault has ended it
	}
	h.entry.Draining = true
	id := h.entry.ID
	h.mu.Unlock()
	w.register(h)
	w.ledger.leaves(id)
	wait(ctx, drainTime+drainTime/2)
	w.endServer(h, id, true)
	wait(ctx, restartDelay)
	w.must(w.restartServer(h, id))
}

// crash ends the server of a host at once and starts another one later. Its entry
// lapses after three heartbeats.
func (w *world) crash(ctx context.Context, h *host, away time.Duration) {
	h.mu.Lock()
	id := h.entry.ID
	h.mu.Unlock()
	w.endServer(h, id, false)
	time.AfterFunc(3*heartbeat, func() { w.removeEntry(id) })
	wait(ctx, away)
	w.must(w.restartServer(h, id))
}

// endServer ends a server unless another fault has done so.
func (w *world) endServer(h *host, id string, announced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away || h.entry.ID != id {
		return
	}
	h.away = true
	h.backend.Close()
	if announced {
		w.removeEntry(id)
	}
}

func (w *world) removeEntry(id string) { w.store.Delete(platform.ServerKey(id)) }

// restartServer starts the successor of a server unless there is one.
func (w *world) restartServer(h *host, id string) error {
	h.mu.Lock()
	waiting := h.away && h.entry.ID == id
	h.mu.Unlock()
	if !waiting {
		return nil
	}
	if err := h.startServer(); err != nil {
		return err
	}
	w.register(h)
	return nil
}

// must ends the run when the soak itself cannot go on.
func (w *world) must(err error) {
	if err != nil {
		w.ledger.mu.Lock()
		defer w.ledger.mu.Unlock()
		w.ledger.violate(Broken, "%v", err)
	}
}
