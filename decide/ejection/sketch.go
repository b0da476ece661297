package ejection

import (
	"math/bits"
	"time"
)

const (
	// bucketBitsPerOctave is the number of bits that select a bucket within an
	// octave. Four buckets per octave have bounds at most 25% apart, which is
	// fine compared with a SlowFactor of 4, and a typical latency distribution
	// uses about 14 buckets.
	bucketBitsPerOctave = 2
	bucketsPerOctave    = 1 << bucketBitsPerOctave
	// NumBuckets is the number of latency buckets, which cover 4 us to 134 s.
	NumBuckets = 25 * bucketsPerOctave
)

// Sketch is an encoded latency histogram with logarithmic buckets. Its first
// element is the index of the first non-empty bucket and the others are the
// counts from that bucket on; it is empty without samples. Non-empty buckets are
// mostly adjacent, so this is shorter than pairs of index and count.
type Sketch []uint32

// bucketOf returns the bucket of a latency. Values out of range fall into the
// first or last bucket.
func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < bucketsPerOctave {
		return 0
	}
	octave := bits.Len64(us) - bucketBitsPerOctave - 1
	index := octave*bucketsPerOctave + int(us>>octave)&(bucketsPerOctave-1)
	return min(index, NumBuckets-1)
}

// lowerBound returns the lowest latency in a bucket.
func lowerBound(bucket int) time.Duration {
	octave, sub := bucket/bucketsPerOctave, bucket%bucketsPerOctave
	return time.Duration((bucketsPerOctave+sub)<<octave) * time.Microsecond
}

// forEach calls f for each bucket of the sketch. It skips bucket indexes that are
// out of range, since a report may come from a faulty peer.
func (s Sketch) forEach(f func(bucket int, n uint32)) {
	if len(s) == 0 || s[0] >= NumBuckets {
		return
	}
	first := int(s[0])
	for i, n := range s[1:] {
		if first+i >= NumBuckets {
			return
		}
		f(first+i, n)
	}
}
