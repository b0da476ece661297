// Package ejection decides which backend servers of a service are taken out
// because they fail or are slow while their siblings are not, and brings them
// back step by step.
//
// An exit turns single calls into reports with a [Collector] for each local
// backend server and holds the ejection lease of that server in a [Guard]. The
// keeper of the service feeds the reports to its [Judge] and sends the verdicts
// back. The packages that carry these messages are not known here.
//
// A verdict answers one report. The exit counts the lease from the moment it
// sent that report, so a verdict that arrives late ends early and never later
// than the keeper assumes.
package ejection
