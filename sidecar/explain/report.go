// Package explain holds the report on where a request would be sent, which a process
// returns as JSON and the command explain prints.
package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Path is the path of the report on the operator's address of a process. The request is
// described by the query parameters below.
const Path = "/explain"

// Query parameters of a request for a report.
const (
	ParamMethod = "method"
	ParamHost   = "host"
	ParamPath   = "path"
	ParamTeam   = "team"  // name of the team whose key the request has; none without a key
	ParamBytes  = "bytes" // size of the body
)

// Report describes what a process would do now with a request.
type Report struct {
	Method        string    `json:"method"`
	Host          string    `json:"host"`
	Path          string    `json:"path"`
	Team          string    `json:"team,omitempty"`
	Bytes         int       `json:"bytes"`
	ConfigVersion uint64    `json:"configVersion"`
	Route         Route     `json:"route"`
	Rank          int       `json:"rank"`              // in queues; 0 is the most urgent
	Refusal       *Refusal  `json:"refusal,omitempty"` // before a backend server is chosen
	Services      []Service `json:"services,omitempty"`
	NotChecked    []string  `json:"notChecked"` // conditions that depend on more than the parameters, or would take something
}

// Route is the route of the request.
type Route struct {
	Name          string        `json:"name"`
	Idempotent    bool          `json:"idempotent"`
	MaxAttempts   int           `json:"maxAttempts"`
	Timeout       time.Duration `json:"timeoutNs"`
	TargetLatency time.Duration `json:"targetLatencyNs"`
}

// Refusal is the result of a request that does not run.
type Refusal struct {
	Code       uint16        `json:"code"`
	Name       string        `json:"name"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"retryAfterNs,omitempty"`
}

// Service is a service to which a share of the requests of the route goes.
type Service struct {
	Name    string        `json:"name"`
	Share   float64       `json:"share"`
	Chosen  string        `json:"chosen,omitempty"` // backend server with the lowest cost
	Wait    time.Duration `json:"waitNs"`           // expected at the chosen server
	TooLate bool          `json:"tooLate"`          // the wait is longer than the time of the request
	Sampled bool          `json:"sampled"`          // a request compares a random sample of the candidates
	Refusal *Refusal      `json:"refusal,omitempty"`
	Servers []Server      `json:"servers"`
}

// Server is a backend server of a service.
type Server struct {
	ID                     string        `json:"id"`
	Host                   string        `json:"host"`
	Zone                   string        `json:"zone"`
	Excluded               string        `json:"excluded,omitempty"` // reason; the server has no cost then
	Cost                   float64       `json:"cost"`
	Parts                  Parts         `json:"parts"`
	Running                int           `json:"running"`
	Slots                  int           `json:"slots"`
	QueuedAhead            int           `json:"queuedAhead"`
	QueueRoom              int           `json:"queueRoom"`
	Wait                   time.Duration `json:"waitNs"`
	GrayFailureProbability float64       `json:"grayFailureProbability"`
}

// Parts are the parts of a cost, as fractions of the value of the request.
type Parts struct {
	Failure     float64 `json:"failure"`
	Exploration float64 `json:"exploration"`
	Load        float64 `json:"load"`
	Wait        float64 `json:"wait"`
	WarmUp      float64 `json:"warmUp"`
	Stopping    float64 `json:"stopping"`
	Path        float64 `json:"path"`
	Leave       float64 `json:"leave"`
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	team := "no key"
	if r.Team != "" {
		team = "team " + r.Team
	}
	repeatable := "not idempotent"
	if r.Route.Idempotent {
		repeatable = "idempotent"
	}
	fmt.Fprintf(w, "request: %s %s%s, %d bytes, %s\n", r.Method, r.Host, r.Path, r.Bytes, team)
	fmt.Fprintf(w, "route: %s, %s, at most %d attempts in %v, rank %d, configuration %d\n",
		r.Route.Name, repeatable, r.Route.MaxAttempts, r.Route.Timeout, r.Rank, r.ConfigVersion)
	for _, condition := range r.NotChecked {
		fmt.Fprintf(w, "not checked: %s\n", condition)
	}
	if r.Refusal != nil {
		fmt.Fprintf(w, "refused: %s\n", r.Refusal)
	}
	for i := range r.Services {
		if err := r.Services[i].writeText(w); err != nil {
			return err
		}
	}
	return nil
}

func (f *Refusal) String() string {
	text := fmt.Sprintf("%d %s", f.Code, f.Name)
	if f.Detail != "" {
		text += ", " + f.Detail
	}
	if f.RetryAfter > 0 {
		text += fmt.Sprintf(", retry after %v", f.RetryAfter.Round(time.Millisecond))
	}
	return text
}

func (s *Service) writeText(w io.Writer) error {
	fmt.Fprintf(w, "\nservice %s (%.0f%% of the requests): %s\n", s.Name, 100*s.Share, s.decision())
	if s.Sampled {
		fmt.Fprintln(w, "a request compares a random sample of the candidates")
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tHOST\tZONE\tCOST\tFAILURE\tEXPLORE\tLOAD\tWAIT\tWARM-UP\tSTOPPING\tPATH\tLEAVE\tRUNNING\tQUEUED\tROOM\tEXPECTED WAIT\tGRAY")
	for _, c := range s.Servers {
		cost := "excluded: " + c.Excluded + "\t-\t-\t-\t-\t-\t-\t-\t-"
		if c.Excluded == "" {
			p := c.Parts
			cost = fmt.Sprintf("%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f",
				c.Cost, p.Failure, p.Exploration, p.Load, p.Wait, p.WarmUp, p.Stopping, p.Path, p.Leave)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d of %d\t%d\t%d\t%v\t%.2f\n", c.ID, c.Host, c.Zone, cost,
			c.Running, c.Slots, c.QueuedAhead, c.QueueRoom, c.Wait.Round(time.Millisecond), c.GrayFailureProbability)
	}
	return table.Flush()
}

func (s *Service) decision() string {
	wait := s.Wait.Round(time.Millisecond)
	switch {
	case s.Refusal != nil:
		return "refused: " + s.Refusal.String()
	case s.TooLate:
		return fmt.Sprintf("to %s, where the expected wait of %v is longer than its time", s.Chosen, wait)
	case s.Wait > 0:
		return fmt.Sprintf("to %s, waits about %v", s.Chosen, wait)
	}
	return "to " + s.Chosen + ", without a wait"
}
