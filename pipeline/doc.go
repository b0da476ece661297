// Package pipeline defines filter chains and the requests and results that they
// process. It is independent of wire formats: front ends convert to and from these
// types.
package pipeline
