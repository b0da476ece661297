// Package ejection implements outlier detection for the backend servers of a
// service. It ejects servers that fail or are slow while their siblings, the
// other servers of the service, are not, and returns them to traffic in steps.
//
// An exit proxy is the proxy in front of a local backend server. It aggregates calls
// into reports with one [Collector] per server and holds the server's ejection
// lease in a [LeaseHolder]. The leader of a service is the process that currently
// decides for it; each new leader has a higher epoch. It feeds the reports to its
// [Detector] and sends the resulting verdicts back. This package does not depend
// on the transport of these messages.
//
// A verdict answers one report. The lease runs from the time the exit proxy sent that
// report, so a delayed verdict never extends the lease past the time that the
// leader assumes.
package ejection
