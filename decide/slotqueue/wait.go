package slotqueue

import "time"

// startBefore returns the waiting calls and other requests that start before an item that is
// inserted at a position.
func (q *Queue) startBefore(item Item, position int) (calls, others []Item) {
	if item.IsCall {
		n := min(position/q.callsPerOther(), len(q.items)-q.calls)
		return q.items[:position], q.items[q.calls : q.calls+n]
	}
	others = q.items[q.calls:position]
	return q.items[:min(q.calls, q.callsPerOther()*(len(others)+1))], others
}

// estimatedWait estimates how long a request waits for a slot and for the limits of the rate
// if the given ones start before it.
func (q *Queue) estimatedWait(now time.Time, calls, others []Item) time.Duration {
	wait := q.waitToStart(now, len(calls)+len(others)+1)
	if len(q.runs) < q.slots {
		return wait
	}
	var ahead time.Duration
	for i := range calls {
		ahead += calls[i].slotTime
	}
	for i := range others {
		ahead += others[i].slotTime
	}
	return max(wait, q.nextFreeSlot()+ahead/time.Duration(q.slots))
}

// nextFreeSlot estimates when a slot becomes free. How long requests of a kind run varies so much
// that those that began long ago are not likely to end sooner than others.
func (q *Queue) nextFreeSlot() time.Duration {
	endsPerSecond := 0.0
	for i := range q.runs {
		if q.runs[i].slotTime <= 0 {
			return 0 // not known
		}
		endsPerSecond += 1 / q.runs[i].slotTime.Seconds()
	}
	needed := len(q.runs) - q.slots + 1 // more than one if there were more slots
	return time.Duration(float64(needed) / endsPerSecond * float64(time.Second))
}
