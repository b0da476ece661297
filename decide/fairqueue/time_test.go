package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

// newQueueOfClasses returns a queue for a server with seven slots that mostly runs the class "long", for a second
// each, and knows a class "short" that takes 10 ms.
func newQueueOfClasses() *Queue {
	q := New(7)
	q.ObserveServiceTime(start, "long", time.Second)
	q.ObserveServiceTime(start, "short", 10*time.Millisecond)
	q.SetServiceTimes(ServiceTimes{PopInterval: time.Second / 7, ServiceTime: time.Second})
	return q
}

// Guards against refusing a short item for the long ones of other teams, each of which counts as much as it does.
func TestShortItemIsNotRefusedForTheLongOnesOfOtherTeams(t *testing.T) {
	q := newQueueOfClasses()
	for id := range uint64(21) {
		pushAll(q, Item{ID: id, Team: fmt.Sprint(id % 7), Class: "long", Deadline: startPlusMS(10_000)})
	}
	if refused := pushAll(q, Item{ID: 100, Team: "short", Class: "short", Deadline: startPlusMS(900)}); len(refused) > 0 {
		t.Fatalf("refused %+v", refused)
	}
	for pops := 1; ; pops++ {
		if item, _ := q.Pop(start); item.ID == 100 {
			return
		}
		if pops > 2 {
			t.Fatalf("not served within %d pops", pops)
		}
	}
}

// Guards against a team that gets more of the slots than others because its items take longer.
func TestSharesAreSharesOfTime(t *testing.T) {
	q := newQueueOfClasses()
	took := map[string]time.Duration{"long": time.Second, "short": 10 * time.Millisecond}
	var got, waiting [2]time.Duration
	id := uint64(0)
	for range 5000 {
		for team, class := range []string{"long", "short"} {
			for waiting[team] < 3*took[class] {
				id++
				pushAll(q, Item{ID: id, Team: fmt.Sprint(team), Class: class, Deadline: startPlusMS(3_600_000)})
				waiting[team] += took[class]
			}
		}
		item, _ := q.Pop(start)
		team := 0
		if item.Class == "short" {
			team = 1
		}
		got[team] += took[item.Class]
		waiting[team] -= took[item.Class]
	}
	if share := float64(got[0]) / float64(got[0]+got[1]); share < 0.45 || share > 0.55 {
		t.Errorf("the team with long items gets %.2f of the time of two teams", share)
	}
}

// Guards against a wait that is taken from the number of items, whatever they take.
func TestEstimatedWaitIsThatOfTheItems(t *testing.T) {
	q := newQueueOfClasses()
	for id := range uint64(14) {
		pushAll(q, Item{ID: id, Team: fmt.Sprint(id % 7), Class: "short", Deadline: startPlusMS(10_000)})
	}
	if wait := q.EstimatedWait(); wait > 25*time.Millisecond {
		t.Errorf("a wait of %v behind 14 items of 10 ms at 7 slots", wait)
	}
}
