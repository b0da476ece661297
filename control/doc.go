// Package control owns all control state of a process in one goroutine. Events
// from the platform, from peers and from traffic flow through a chain of
// stages; each stage owns one part of the state, the last one publishes an
// immutable Snapshot that traffic goroutines read through an atomic pointer.
// The loop does no I/O: stages emit commands that outbound workers carry out.
package control
