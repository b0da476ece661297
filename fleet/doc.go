// Package fleet carries requests and control messages between the processes of
// the fleet: requests over HTTP/2, control messages over JSON-RPC 2.0.
package fleet
