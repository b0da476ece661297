// Package fleet carries requests and control messages between the processes of the
// fleet: requests over HTTP/2, control messages over JSON-RPC 2.0. The entry proxy of a
// request is the process that received it from the caller; its exit proxy is the
// process that sends it to the backend server.
//
// Package sidecar uses packages hop and notice instead, which need fewer bytes for each
// message.
package fleet
