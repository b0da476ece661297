// Package pipeline defines the request and result values that flow through the
// filter chains, and the chain itself. It knows no wire format: front ends
// convert to and from these types.
package pipeline
