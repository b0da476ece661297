package pipeline

import (
	"io"
	"time"
)

// Outcome is what a caller may conclude about whether its request ran.
type Outcome uint8

// The three outcomes.
const (
	Answered Outcome = iota // the backend server answered completely
	NotRun                  // refused before it ran
	Unknown                 // it may or may not have run
)

// String returns the value of the Ragwort-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Result is the final result of a chain.
type Result struct {
	Outcome       Outcome
	Code          Code
	Status        int // HTTP status
	Header        Header
	Body          io.ReadCloser // nil when there is no body
	ContentLength int64         // -1 when unknown
	// Trailer returns the trailer fields after Body has returned io.EOF; it is nil if
	// there are none.
	Trailer      func() Header
	TrailerNames []string
	Detail       string        // one sentence for the caller
	RetryAfter   time.Duration // 0 means no Retry-After
	Fault        string        // the panic that ended the request with its stack, for the log only
}

// Refuse returns the result for a code, with its outcome and status from codeTable.
// An empty detail is replaced by the meaning of the code.
func Refuse(code Code, detail string) *Result {
	info := code.Info()
	if detail == "" {
		detail = info.Meaning
	}
	return &Result{Outcome: info.Outcome, Code: code, Status: info.Status, Detail: detail}
}
