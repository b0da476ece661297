// Package mesh implements the control plane of a process on a platform whose store
// holds the configuration and the list of backend servers. The state belongs to a
// single goroutine, control.Loop; its stages update the state, and the loop publishes
// an immutable Snapshot that requests read.
//
// Unlike package control, it has no leases, no gossip of the configuration and no
// membership protocol. A few processes, the store readers, read the store and
// broadcast changes to the others. The peers of a process are the hosts of the
// listed backend servers.
package mesh
