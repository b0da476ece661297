package ejection

import (
	"math/bits"
	"time"
)

const (
	// subBits is the number of bits that split an octave into buckets. Four
	// buckets an octave give bounds at most 25% apart, which is fine beside a
	// SlowFactor of 4, and about 14 buckets in use for a common latency spread.
	subBits = 2
	subSize = 1 << subBits
	// Buckets is the number of latency buckets: 4 us to 134 s.
	Buckets = 25 * subSize
)

// Sketch is a histogram with log-spaced buckets. Its first element is the
// index of the first bucket in use and the others are the counts from that
// bucket on; it is empty without samples. Neighboring buckets are in use
// together, so that this is shorter than pairs of index and count.
type Sketch []uint32

// bucketOf returns the bucket of a latency; values outside of the range fall
// into the first or last bucket.
func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < subSize {
		return 0
	}
	octave := bits.Len64(us) - subBits - 1
	index := octave*subSize + int(us>>octave)&(subSize-1)
	return min(index, Buckets-1)
}

// lowerBound returns the least latency that falls into a bucket.
func lowerBound(bucket int) time.Duration {
	octave, sub := bucket/subSize, bucket%subSize
	return time.Duration((subSize+sub)<<octave) * time.Microsecond
}

// each calls f for every bucket of the range. Buckets outside of the range are
// left out, since a report may come from a faulty peer.
func (s Sketch) each(f func(bucket int, n uint32)) {
	if len(s) == 0 || s[0] >= Buckets {
		return
	}
	first := int(s[0])
	for i, n := range s[1:] {
		if first+i >= Buckets {
			return
		}
		f(first+i, n)
	}
}
