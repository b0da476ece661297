// Package control owns the control state of a process in one goroutine. Events
// from the platform, from peers and from request handling pass through a chain of
// stages, each of which owns one part of the state. After an event that changed
// something, the loop publishes an immutable Snapshot that request goroutines read
// through an atomic pointer. The loop does no I/O: stages emit commands that
// outbound workers execute.
//
// An entry proxy is a process that receives requests from callers; an exit proxy is a
// process that forwards requests to the backend servers of its host. The leader of a
// shard is the process that holds the shard's lease (package lease).
package control
