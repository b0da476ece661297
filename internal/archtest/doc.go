// Package archtest holds the tests that keep the shape of the code base: which
// package may import which, and where clocks, locks and transports are allowed.
package archtest
