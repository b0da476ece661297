// Package capacity measures the slopes from which docs/CAPACITY.md works out the
// cost of a process at the size that the design aims for: each at three sizes or
// more, the last one the whole size, loaded into this process.
package capacity
