package slotqueue

// MaxWaiting is the number of places in the queue of a server. A waiting request takes one, unless
// it passed a longer one: it is gone soon, and should not push out a longer one for that.
const MaxWaiting = 16

// maxRequestsPerPlace bounds the number of requests that wait, with those that take no place.
const maxRequestsPerPlace = 4

// While both wait, calls get callTimeShare times as much slot time as other requests, which keep
// at least 1 in minOtherShare of the places in the queue. Otherwise a service that is
// overloaded by calls would serve nothing else.
const (
	callTimeShare = 4
	minOtherShare = 4
	// MinOthers is that number of places in a queue of MaxWaiting.
	MinOthers = MaxWaiting / minOtherShare
)

// none is the position of no request.
const none = -1

// TakenPlaces returns how many places are taken, and how many of them by requests with a rank
// up to urgentRank.
func (q *Queue) TakenPlaces(urgentRank int) (all, urgent int) {
	for i := range q.items {
		if q.items[i].passes {
			continue
		}
		all++
		if q.items[i].Rank <= urgentRank {
			urgent++
		}
	}
	return all, urgent
}

// makeRoom reports whether an item may wait at a position, and returns the position of the request
// that yields to it, or none.
func (q *Queue) makeRoom(item Item, position int) (yields int, ok bool) {
	if item.passes {
		return none, len(q.items) < maxRequestsPerPlace*q.maxWaiting
	}
	if taken, _ := q.TakenPlaces(0); taken < q.maxWaiting {
		return none, true
	}
	yields = q.displacedBy(item, position)
	return yields, yields != none
}

// displacedBy returns the position in the full queue of the request that yields to an item
// at the given position, or none if the item itself does: the last call if the other requests
// have no more places than their share, else the last of these.
func (q *Queue) displacedBy(item Item, position int) int {
	others, lastCall, lastOther := 0, none, none
	for i := range q.items {
		switch {
		case q.items[i].passes:
		case q.items[i].IsCall:
			lastCall = i
		default:
			others++
			lastOther = i
		}
	}
	if !item.IsCall {
		others++
	}
	last, sameLine := lastOther, !item.IsCall
	if others <= q.maxWaiting/minOtherShare {
		last, sameLine = lastCall, item.IsCall
	}
	if sameLine && position > last {
		return none
	}
	return last
}
