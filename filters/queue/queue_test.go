package queue

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// serviceTime is how long a request of these tests holds its slot.
const serviceTime = 10 * time.Millisecond

// server is a dispatcher with a log of the requests that run. It must be used
// inside a synctest bubble.
type server struct {
	t      *testing.T
	filter Filter
	events chan string
	codes  chan string
}

// newServer starts a dispatcher. The standings take effect after half a service time.
func newServer(t *testing.T, slots int, standings map[quarantine.Fingerprint]quarantine.Standing) *server {
	s := &server{t: t, events: make(chan string, 1000), codes: make(chan string, 1000)}
	from := time.Now().Add(serviceTime / 2)
	s.filter.Dispatcher = NewDispatcher(Options{
		Slots: slots,
		FingerprintStatus: func(now time.Time, f quarantine.Fingerprint) quarantine.FingerprintStatus {
			if now.Before(from) {
				return quarantine.FingerprintStatus{Fingerprint: f}
			}
			return quarantine.FingerprintStatus{Fingerprint: f, Standing: standings[f]}
		},
		Report: func([]quarantine.Report) {},
	})
	go s.filter.Dispatcher.Run(t.Context())
	return s
}

// send sends a request that runs for serviceTime.
func (s *server) send(f uint64, suspect bool) { s.sendFor(serviceTime, f, suspect) }

func (s *server) sendFor(d time.Duration, f uint64, suspect bool) {
	req := &pipeline.Request{
		Fingerprint: f, CrashSuspect: suspect,
		Deadline: time.Now().Add(time.Minute),
		Class:    pipeline.Class{Worth: 1},
	}
	go func() {
		if refusal := s.filter.Handle(s.t.Context(), req); refusal != nil {
			s.codes <- fmt.Sprint(refusal.Code)
			return
		}
		kind := "o"
		if req.CrashSuspect {
			kind = "s"
		}
		s.events <- kind + "+"
		time.Sleep(d)
		s.events <- kind + "-"
		req.Complete(pipeline.Completion{Outcome: pipeline.Answered, Status: 200})
	}()
	synctest.Wait()
}

// log returns the starts and ends of suspects (s) and others (o) in order.
func (s *server) log() string {
	time.Sleep(time.Second)
	synctest.Wait()
	var all []string
	for len(s.events) > 0 {
		all = append(all, <-s.events)
	}
	return strings.Join(all, " ")
}

// Guards against a suspect that runs concurrently with other requests, and against
// the starvation of other requests by a series of suspects.
func TestSuspectsRunAloneAndInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, 2, nil)
		s.send(1, false)
		s.send(9, true)
		s.send(8, true)
		for f := range uint64(4) {
			s.send(f, false)
		}
		const want = "o+ o- s+ s- o+ o+ o- o- s+ s- o+ o+ o- o-"
		if got := s.log(); got != want {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	})
}

// Guards against a backend server that is left idle while a suspect waits for the
// end of a long stream.
func TestSuspectDoesNotWaitForAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, 2, nil)
		s.sendFor(time.Hour, 1, false)
		s.send(9, true)
		s.send(2, false)
		if got, want := s.log(), "o+ o+ o-"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if n := len(s.codes); n != 1 {
			t.Fatalf("%d requests were refused, want the suspect", n)
		}
		if code := <-s.codes; code != fmt.Sprint(pipeline.CodeSuspectBusy) {
			t.Errorf("the suspect got code %s", code)
		}
		time.Sleep(time.Hour)
	})
}

// Guards against a request that is started normally although it became suspect or
// blocked while it waited, and against an unbounded number of suspects that wait
// for one server.
func TestStandingCountsWhenTheRequestStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, 1, map[quarantine.Fingerprint]quarantine.Standing{
			2: quarantine.Suspect, 3: quarantine.Blocked,
		})
		s.send(1, false)
		s.send(2, false)
		s.send(3, false)
		if got, want := s.log(), "o+ o- s+ s-"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		close(s.codes)
		if code := <-s.codes; code != fmt.Sprint(pipeline.CodeQuarantined) {
			t.Errorf("the blocked request got code %q", code)
		}
		s.codes = make(chan string, 1000)
		for range maxWaitingSuspects + 3 {
			s.send(2, true)
		}
		s.log()
		if n := len(s.codes); n != 2 {
			t.Errorf("%d suspects were sent elsewhere, want 2", n)
		}
	})
}

// Guards against refusing the requests of a class because those of other classes take long.
func TestShortClassIsServedBesideALongOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := Filter{Dispatcher: NewDispatcher(Options{
			Slots: 2,
			FingerprintStatus: func(time.Time, quarantine.Fingerprint) quarantine.FingerprintStatus {
				return quarantine.FingerprintStatus{}
			},
			Report: func([]quarantine.Report) {},
		})}
		go f.Dispatcher.Run(t.Context())
		send := func(class string, runsFor, timeout time.Duration) <-chan *pipeline.Result {
			ended := make(chan *pipeline.Result, 1)
			req := &pipeline.Request{Deadline: time.Now().Add(timeout), Class: pipeline.Class{Name: class}}
			go func() {
				if refusal := f.Handle(t.Context(), req); refusal != nil {
					ended <- refusal
					return
				}
				time.Sleep(runsFor)
				req.Complete(pipeline.Completion{Outcome: pipeline.Answered, Status: 200})
				ended <- nil
			}()
			synctest.Wait()
			return ended
		}
		for range 20 {
			<-send("long", 400*time.Millisecond, time.Minute)
		}
		send("long", 400*time.Millisecond, time.Minute)
		send("long", 400*time.Millisecond, time.Minute)
		time.Sleep(350 * time.Millisecond)
		if refusal := <-send("short", 5*time.Millisecond, 150*time.Millisecond); refusal != nil {
			t.Errorf("%v, want an answer: a slot became free 100 ms before the deadline", refusal.Code)
		}
	})
}
