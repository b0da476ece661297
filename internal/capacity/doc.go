// Package capacity measures how the costs of one process grow with the size of the
// fleet and its configuration. docs/CAPACITY.md derives the cost of a process at
// the target size from these slopes. Each cost is measured at three sizes or more,
// the last of which is the whole target size, loaded into this process.
package capacity
