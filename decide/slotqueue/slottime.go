package slotqueue

import (
	"time"

	"github.com/ragwortyard/ragwortyard/decide/servicetime"
)

// ExpectedServiceTime returns the mean of the expected service times of the requests that hold a
// slot or a place. If there are none it is that of recent requests, or 0 while it is unknown.
func (q *Queue) ExpectedServiceTime(now time.Time) time.Duration {
	q.updateSlotTimes(now)
	return q.meanSlotTime()
}

// meanSlotTime is ExpectedServiceTime after the last update.
func (q *Queue) meanSlotTime() time.Duration {
	var sum time.Duration
	n := len(q.runs)
	for i := range q.runs {
		sum += q.runs[i].slotTime
	}
	for i := range q.items {
		if !q.items[i].passes {
			sum += q.items[i].slotTime
			n++
		}
	}
	if sum <= 0 {
		return q.meanServiceTime
	}
	return sum / time.Duration(n)
}

// updateSlotTimes estimates how long the requests that run or wait hold a slot.
func (q *Queue) updateSlotTimes(now time.Time) {
	for i := range q.runs {
		r := &q.runs[i]
		if expected := q.expectedSlotTime(now, r.kind); expected > 0 {
			r.slotTime = max(expected, now.Sub(r.started))
		}
	}
	for i := range q.items {
		item := &q.items[i]
		if expected := q.expectedSlotTime(now, item.kind()); expected > 0 {
			item.slotTime = expected
		}
	}
}

// expectedSlotTime returns for how long a request of a kind is expected to hold a slot, or 0 if none
// has run. Requests that have run for longer than expected count as if they ended now: while a
// server is slow, or fails some of its requests at once, only short ones may have ended yet.
func (q *Queue) expectedSlotTime(now time.Time, k kind) time.Duration {
	expected := q.serviceTimes.Last(k)
	for i := range q.runs {
		if ran := now.Sub(q.runs[i].started); q.runs[i].kind == k && ran > expected {
			expected = servicetime.Smooth(expected, ran)
		}
	}
	return expected
}
