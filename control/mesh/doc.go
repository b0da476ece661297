// Package mesh is the control state of a process on a platform that owns the
// configuration and the list of backend servers. One goroutine (control.Loop)
// owns it; its stages decide what is in force and the publisher hands an
// immutable Snapshot to traffic.
//
// In contrast to the stages of package control there are no leases, no spread of
// configuration and no membership protocol: the platform's store lists the
// backend servers, a few processes read it for all, and processes that list the
// same backend servers know each other by it.
package mesh
