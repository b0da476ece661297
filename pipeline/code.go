package pipeline

import "fmt"

// Code is a numeric result code. The thousands digit is the category; 0 means that
// the backend server answered. docs/RESULT-CODES.md lists all codes.
type Code uint16

// CodeOK marks an answer of the backend server, whatever its HTTP status.
const CodeOK Code = 0

// Codes for invalid requests.
const (
	CodeMalformed       Code = 1001
	CodeHeaderTooLarge  Code = 1002
	CodeUnknownRoute    Code = 1003
	CodeDeadlinePassed  Code = 1004
	CodeBodyTooLarge    Code = 1005
	CodeMethodNotServed Code = 1006
	CodeKeyInURL        Code = 1007
	CodeBadDeadline     Code = 1008
	CodeBadIdempotency  Code = 1009
)

// Codes for API keys.
const (
	CodeKeyMissing      Code = 2001
	CodeKeyUnknown      Code = 2002
	CodeKeyWithdrawn    Code = 2003
	CodeKeyNotAllowed   Code = 2004
	CodeKeysUnconfirmed Code = 2005
	CodeKeyAmbiguous    Code = 2006
)

// Codes for rate limits, slots and queues.
const (
	CodeRateExceeded     Code = 3001
	CodeQueueFull        Code = 3002
	CodeDeadlineTooShort Code = 3003
	CodeQuotaUnavailable Code = 3004
	CodeShed             Code = 3005
	CodeRetriesSpent     Code = 3006
)

// Codes for routing.
const (
	CodeNoBackend      Code = 4001
	CodeStopping       Code = 4002
	CodeEjected        Code = 4003
	CodePathBroken     Code = 4004
	CodeWrongExit      Code = 4005
	CodeBackendLeaving Code = 4006
	CodeConnectFailed  Code = 4007
	CodeNotReady       Code = 4008
	CodeZoneEvacuated  Code = 4009
)

// Codes for idempotency keys and for quarantined requests.
const (
	CodeInProgress          Code = 5001
	CodeAlreadyRan          Code = 5002
	CodeEarlierSendPossible Code = 5003
	CodeQuarantined         Code = 5004
	CodeSuspectBusy         Code = 5005
	CodeDuplicateSend       Code = 5006
	CodeEarlierUnknown      Code = 5007
	CodeKeyReuseDiffers     Code = 5008
)

// Codes for requests that were sent and whose outcome is unknown.
const (
	CodeConnectionLost Code = 6001
	CodeDeadlineInRun  Code = 6002
	CodeAnswerCut      Code = 6003
	CodeCanceled       Code = 6004
	CodeSilent         Code = 6005
	CodeStopped        Code = 6006
)

// Codes for the protocol between the processes.
const (
	CodeBadHop          Code = 7001
	CodeVersionMismatch Code = 7002
	CodeMessageTooLarge Code = 7003
	CodeNotLeader       Code = 7004
)

// Codes for configuration documents.
const (
	CodeConfigSyntax       Code = 8001
	CodeConfigUnknownField Code = 8002
	CodeConfigRange        Code = 8003
	CodeConfigDuplicate    Code = 8004
	CodeConfigReference    Code = 8005
	CodeConfigTooLarge     Code = 8006
	CodeConfigVersion      Code = 8007
	CodeConfigDigest       Code = 8008
	CodeConfigMissing      Code = 8009
)

// Codes for settings and internal failures.
const (
	CodeInternal   Code = 9001
	CodeBadSetting Code = 9002
)

// CodeInfo describes one code for callers, operators and docs/RESULT-CODES.md.
type CodeInfo struct {
	Code    Code
	Name    string  // short name in kebab case, for metrics and logs
	Outcome Outcome // what a caller may conclude
	Status  int     // HTTP status of the answer; 0 if the code is never sent to a caller
	Meaning string
}

// codeTable lists every code once, in ascending order.
var codeTable = []CodeInfo{
	{CodeOK, "ok", Answered, 0, "The backend server answered; the status is its own."},
	{CodeMalformed, "malformed", NotRun, 400, "The request is not well formed."},
	{CodeHeaderTooLarge, "header-too-large", NotRun, 431, "The header section exceeds the limit."},
	{CodeUnknownRoute, "unknown-route", NotRun, 404, "No route matches the method and path."},
	{CodeDeadlinePassed, "deadline-passed", NotRun, 504, "The deadline passed before the request was sent to a backend server."},
	{CodeBodyTooLarge, "body-too-large", NotRun, 413, "The declared body exceeds the limit of the class."},
	{CodeMethodNotServed, "method-not-served", NotRun, 405, "The route does not serve this method."},
	{CodeKeyInURL, "key-in-url", NotRun, 400, "The key appears in the path or the query, where it would be logged."},
	{CodeBadDeadline, "bad-deadline", NotRun, 400, "The deadline header is not a positive number of milliseconds."},
	{CodeBadIdempotency, "bad-idempotency-key", NotRun, 400, "The idempotency key is empty, too long or repeated."},
	{CodeKeyMissing, "key-missing", NotRun, 401, "The route needs a key and none was shown."},
	{CodeKeyUnknown, "key-unknown", NotRun, 401, "The key is not in the configuration in force."},
	{CodeKeyWithdrawn, "key-withdrawn", NotRun, 401, "The key was withdrawn while the request waited."},
	{CodeKeyNotAllowed, "key-not-allowed", NotRun, 403, "The team may not use this route."},
	{CodeKeysUnconfirmed, "keys-unsure", NotRun, 503, "The process cannot rule out that the key has been withdrawn."},
	{CodeKeyAmbiguous, "key-ambiguous", NotRun, 400, "Two different keys were shown."},
	{CodeRateExceeded, "rate-exceeded", NotRun, 429, "The team has used its rate and burst."},
	{CodeQueueFull, "queue-full", NotRun, 503, "The queue of the backend server is full for this team."},
	{CodeDeadlineTooShort, "deadline-too-short", NotRun, 503, "The deadline cannot be met at the present load."},
	{CodeQuotaUnavailable, "quota-unavailable", NotRun, 503, "No keeper of the team's rate answered in time."},
	{CodeShed, "shed", NotRun, 503, "The backend server refused the request before running it, because of its load."},
	{CodeRetriesSpent, "retries-spent", NotRun, 503, "The call belongs to a retried request, and the service's retry budget is spent."},
	{CodeNoBackend, "no-backend", NotRun, 503, "No backend server of the service takes new work."},
	{CodeStopping, "stopping", NotRun, 503, "The process is stopping and takes no new work."},
	{CodeEjected, "ejected", NotRun, 503, "The backend server is ejected; used between processes."},
	{CodePathBroken, "path-broken", NotRun, 503, "No path to a process in front of the service works."},
	{CodeWrongExit, "wrong-exit", NotRun, 503, "The process has no backend server of this service; used between processes."},
	{CodeBackendLeaving, "backend-leaving", NotRun, 503, "The backend server is leaving; used between processes."},
	{CodeConnectFailed, "connect-failed", NotRun, 502, "No connection to the backend server could be opened."},
	{CodeNotReady, "not-ready", NotRun, 503, "The process has no configuration yet."},
	{CodeZoneEvacuated, "zone-evacuated", NotRun, 503, "The availability zone of the backend server is evacuated; used between processes."},
	{CodeInProgress, "in-progress", NotRun, 409, "A request with this idempotency key is running; this copy was not run."},
	{CodeAlreadyRan, "already-ran", NotRun, 409, "A request with this idempotency key has run; its status is in Ragwort-First-Status; this copy was not run."},
	{CodeEarlierSendPossible, "cannot-vouch", NotRun, 503, "Too few processes can rule out an earlier send of this idempotency key."},
	{CodeQuarantined, "quarantined", NotRun, 503, "Requests like this one crashed backend servers; refused for a time."},
	{CodeSuspectBusy, "suspect-busy", NotRun, 503, "The request is suspected of a crash and no idle backend server is free to run it alone."},
	{CodeDuplicateSend, "duplicate-send", NotRun, 409, "This attempt was already received; used between processes."},
	{CodeEarlierUnknown, "earlier-unknown", NotRun, 409, "A request with this idempotency key was sent and its outcome is unknown; this copy was not run."},
	{CodeKeyReuseDiffers, "key-reuse-differs", NotRun, 422, "The idempotency key was used for a different request."},
	{CodeConnectionLost, "connection-lost", Unknown, 502, "The connection was lost after the request was sent."},
	{CodeDeadlineInRun, "deadline-in-run", Unknown, 504, "The deadline passed while the backend server was working."},
	{CodeAnswerCut, "answer-cut", Unknown, 502, "The answer was cut before its end."},
	{CodeCanceled, "canceled", Unknown, 499, "The caller went away while the backend server was working."},
	{CodeSilent, "silent", Unknown, 504, "The connection went silent after the request was sent."},
	{CodeStopped, "stopped", Unknown, 502, "The process stopped before the answer arrived."},
	{CodeBadHop, "bad-hop", NotRun, 400, "A request between processes lacks required fields."},
	{CodeVersionMismatch, "version-mismatch", NotRun, 0, "The peer speaks an unsupported protocol version."},
	{CodeMessageTooLarge, "message-too-large", NotRun, 0, "A message between processes exceeds its limit."},
	{CodeNotLeader, "not-keeper", NotRun, 0, "The peer does not hold the lease for this shard."},
	{CodeConfigSyntax, "config-syntax", NotRun, 0, "A configuration value is not valid JSON or has the wrong type."},
	{CodeConfigUnknownField, "config-unknown-field", NotRun, 0, "A configuration value has an unknown field."},
	{CodeConfigRange, "config-range", NotRun, 0, "A configured number or duration is impossible."},
	{CodeConfigDuplicate, "config-duplicate", NotRun, 0, "A name or key digest appears twice."},
	{CodeConfigReference, "config-reference", NotRun, 0, "A reference names something that does not exist."},
	{CodeConfigTooLarge, "config-too-large", NotRun, 0, "A configuration value exceeds 1 MB."},
	{CodeConfigVersion, "config-version", NotRun, 0, "The version is missing or not higher than the one in force."},
	{CodeConfigDigest, "config-digest", NotRun, 0, "A part does not match its digest in the manifest."},
	{CodeConfigMissing, "config-missing", NotRun, 0, "A part or a required field is missing."},
	{CodeInternal, "internal", Unknown, 500, "An internal failure; the outcome is unknown."},
	{CodeBadSetting, "bad-setting", NotRun, 0, "A flag or an environment variable is invalid."},
}

var codeIndex = indexCodes()

func indexCodes() map[Code]CodeInfo {
	index := make(map[Code]CodeInfo, len(codeTable))
	for _, info := range codeTable {
		index[info.Code] = info
	}
	return index
}

// Codes returns the descriptions of all codes in ascending order.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the description of c, or that of CodeInternal for an unknown code.
func (c Code) Info() CodeInfo {
	if info, ok := codeIndex[c]; ok {
		return info
	}
	return codeIndex[CodeInternal]
}

// String returns the number and the short name, for example "3001 rate-exceeded".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), c.Info().Name)
}
