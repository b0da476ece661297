package slots

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Guards against a caller that is told that its request did not run, and repeats it, though
// the request ran long ago within its time budget.
func TestAttemptsThatRanAreNotWithdrawnWithinTheirTimeBudget(t *testing.T) {
	for _, budget := range []time.Duration{40 * time.Second, 10 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			f, stop := run(t, 2, discardEvent)
			defer stop()
			<-time.After(time.Hour)
			sent := time.Now()
			ran := request("ran", 0)
			ran.Deadline = sent.Add(budget)
			if r := f.Handle(t.Context(), ran); r != nil {
				t.Fatal(r)
			}
			<-time.After(time.Second)
			ran.Complete(pipeline.Completion{Outcome: pipeline.Answered})
			for i := 0; time.Since(sent) < budget; i++ {
				other := request(strconv.Itoa(i), 0)
				if r := f.Handle(t.Context(), other); r != nil {
					t.Fatal(r)
				}
				other.Complete(pipeline.Completion{Outcome: pipeline.Answered})
				<-time.After(500 * time.Millisecond)
				if f.Queue.Withdraw(t.Context(), "ran", time.Since(sent)) {
					t.Fatalf("budget %v: withdrawn %v after it was sent", budget, time.Since(sent))
				}
			}
		})
	}
}

// Guards against an attempt that runs after its withdrawal was confirmed, because the process
// paused before it read the attempt.
func TestWithdrawnAttemptNeverRunsAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := run(t, 1, discardEvent)
		defer stop()
		<-time.After(time.Second)
		if !f.Queue.Withdraw(t.Context(), "late", 10*time.Millisecond) {
			t.Fatal("the withdrawal was denied")
		}
		<-time.After(2 * time.Minute)
		if !f.Queue.Withdraw(t.Context(), "other", time.Second) {
			t.Fatal("the second withdrawal was denied")
		}
		if r := f.Handle(t.Context(), request("late", 0)); r == nil || r.Code != pipeline.CodeDuplicateSend {
			t.Errorf("got %+v, want a refusal", r)
		}
	})
}

// Guards against an attempt that ran and is taken for one that did not, whatever the time
// budgets and the number of attempts, and against a memory that grows.
func TestForgottenAttemptsAreNotTakenForAbsentOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		type sentAttempt struct {
			id   string
			sent time.Time
		}
		now := time.Now()
		memory := newExecutedAttempts(now)
		memory.limit = limit
		var running, ended []sentAttempt
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
			},
			"send": func(*rapid.T) {
				running = append(running, sentAttempt{fmt.Sprint(len(running) + len(ended)), now})
				now = now.Add(time.Microsecond)
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("none runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
				memory.add(now, running[i].id, running[i].sent.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "budget_s"))*time.Second))
				ended = append(ended, running[i])
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
			},
			"": func(t *rapid.T) {
				for _, a := range ended {
					if memory.rulesOut(now, a.id, now.Sub(a.sent)) {
						t.Fatalf("attempt %s, sent %v ago, ran", a.id, now.Sub(a.sent))
					}
				}
				if !memory.rulesOut(now, "lost", -time.Microsecond) {
					t.Fatal("an attempt that was sent just now is not ruled out")
				}
				if len(memory.order) > limit || len(memory.expiry) > limit {
					t.Fatalf("%d attempts in order, %d expiries, want at most %d", len(memory.order), len(memory.expiry), limit)
				}
			},
		})
	})
}

// Guards against a withdrawn attempt that is forgotten while it may still arrive.
func TestWithdrawalIsDeniedWhileTheMemoryIsFull(t *testing.T) {
	now := time.Now()
	memory := newWithdrawnAttempts()
	memory.limit = 2
	if !memory.add(now, "first") || !memory.add(now, "second") {
		t.Fatal("denied while there was room")
	}
	if memory.add(now.Add(minWithdrawnRetention-1), "third") {
		t.Error("an attempt was forgotten that may still arrive")
	}
	if !memory.add(now.Add(minWithdrawnRetention), "third") || len(memory.order) != 2 || len(memory.known) != 2 {
		t.Errorf("no room was made: %d attempts", len(memory.order))
	}
}
