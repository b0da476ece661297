// Package fleet carries requests and control messages between the processes of the
// fleet: requests over HTTP/2, control messages over JSON-RPC 2.0. The entry of a request
// is the process that received it from the caller; its exit is the process that sends it
// to the backend server.
package fleet
