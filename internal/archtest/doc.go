// Package archtest contains tests for the architecture of the code base: which packages
// may import which, and where clocks, locks and transports may be used.
package archtest
