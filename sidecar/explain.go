package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/filters/dispatch"
	"github.com/ragwortyard/ragwortyard/pipeline"
	"github.com/ragwortyard/ragwortyard/platform"
	"github.com/ragwortyard/ragwortyard/sidecar/explain"
)

// explainedRequest is the request of an explanation.
type explainedRequest struct {
	method, host, path, team string
	bytes                    int
}

// parseExplainedRequest reads the query parameters. It refuses unknown ones without
// repeating their values, which may be keys.
func parseExplainedRequest(query url.Values) (explainedRequest, error) {
	known := []string{explain.ParamMethod, explain.ParamHost, explain.ParamPath, explain.ParamTeam, explain.ParamBytes}
	for name, values := range query {
		if !slices.Contains(known, name) {
			return explainedRequest{}, fmt.Errorf("the parameters are %s", strings.Join(known, ", "))
		}
		if len(values) > 1 {
			return explainedRequest{}, fmt.Errorf("parameter %s is given more than once", name)
		}
	}
	r := explainedRequest{
		method: query.Get(explain.ParamMethod), host: query.Get(explain.ParamHost),
		path: query.Get(explain.ParamPath), team: query.Get(explain.ParamTeam),
	}
	if r.method == "" {
		r.method = http.MethodGet
	}
	if r.host == "" || !strings.HasPrefix(r.path, "/") || strings.ContainsAny(r.path, "?#") {
		return r, fmt.Errorf("parameters %s and %s are required; the path begins with a slash and has no query", explain.ParamHost, explain.ParamPath)
	}
	if size := query.Get(explain.ParamBytes); size != "" {
		var err error
		if r.bytes, err = strconv.Atoi(size); err != nil || r.bytes < 0 {
			return r, fmt.Errorf("parameter %s must be a number of bytes", explain.ParamBytes)
		}
	}
	return r, nil
}

// serveExplain answers with the report on where a request would be sent now.
func (s *Sidecar) serveExplain(w http.ResponseWriter, r *http.Request) {
	request, err := parseExplainedRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, status, reason := s.explain(r.Context(), request)
	if report == nil {
		http.Error(w, reason, status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		s.log.Debug("cannot write the explanation", zap.Error(err))
	}
}

// explain returns the report, or an HTTP status and a reason if there is none.
func (s *Sidecar) explain(ctx context.Context, request explainedRequest) (report *explain.Report, status int, reason string) {
	snap := s.loop.Snapshot()
	if snap.Table == nil {
		return nil, http.StatusServiceUnavailable, "this process has no configuration yet"
	}
	team, ok := snap.Table.TeamByName(request.team)
	if request.team != "" && !ok {
		return nil, http.StatusNotFound, "the configuration has no team of this name"
	}
	req := &pipeline.Request{Method: request.method, Host: request.host, Path: request.path, Received: time.Now()}
	stopping := (intake{s}).Handle(ctx, req)
	route, refusal := s.lookup.Describe(request.team, req)
	if route == nil {
		return nil, http.StatusNotFound, fmt.Sprintf("no route matches host %q and path %q", request.host, request.path)
	}
	report = &explain.Report{
		Method: request.method, Host: request.host, Path: request.path, Team: request.team, Bytes: request.bytes,
		ConfigVersion: snap.Table.Version(), Rank: req.Rank,
		Route: explain.Route{
			Name: route.Name, Idempotent: route.Idempotent, MaxAttempts: req.MaxAttempts,
			Timeout: req.Deadline.Sub(req.Received), TargetLatency: route.TargetLatency,
		},
		NotChecked: notChecked(team, req),
	}
	if stopping != nil {
		refusal = stopping
	}
	if int64(request.bytes) > platform.MaxBodyBytes(snap.Table.Limits().BodyBytes) {
		refusal = pipeline.Refuse(pipeline.CodeBodyTooLarge, "")
	}
	if refusal != nil {
		report.Refusal = describeRefusal(refusal)
		return report, http.StatusOK, ""
	}
	for _, share := range route.Shares() {
		req.Service = share.Service
		report.Services = append(report.Services, s.explainService(share.Weight, req, request.bytes))
	}
	return report, http.StatusOK, ""
}

// notChecked returns the conditions that are not part of a report.
func notChecked(team *routing.Team, req *pipeline.Request) []string {
	conditions := []string{"whether requests with its fingerprint are blocked after crashes"}
	switch {
	case req.Principal.Team == "":
		conditions = append(conditions, "whether it is a call of a backend server, which retries of the caller may have to pay for")
	case team.Rate > 0:
		conditions = append(conditions, fmt.Sprintf("whether the team is within its rate of %g/s and burst of %g", team.Rate, team.Burst))
	}
	return conditions
}

func (s *Sidecar) explainService(share float64, req *pipeline.Request, requestBytes int) explain.Service {
	e := s.dispatch.Explain(req, requestBytes)
	service := explain.Service{Name: req.Service, Share: share, Sampled: e.Sampled, Servers: []explain.Server{}}
	for i := range e.Servers {
		service.Servers = append(service.Servers, describeServer(&e.Servers[i]))
	}
	// Candidates first, the one with the lowest cost at the top.
	slices.SortStableFunc(service.Servers, compareServers)
	if e.Refusal != nil {
		service.Refusal = describeRefusal(e.Refusal)
		return service
	}
	service.Chosen, service.Wait = e.Best.ID, e.Best.Wait
	service.TooLate = e.Best.Wait > time.Until(req.Deadline)
	return service
}

func describeServer(s *dispatch.ExplainedServer) explain.Server {
	return explain.Server{
		ID: s.ID, Host: s.Host, Zone: s.Zone, Excluded: s.Exclusion,
		Cost: s.Cost.Total(), Parts: explain.Parts(s.Cost),
		Running: s.Running, Slots: s.Target.Slots, QueuedAhead: s.QueuedAhead, QueueRoom: s.QueueRoom,
		Wait: s.Wait, GrayFailureProbability: s.GrayFailureProbability,
	}
}

func compareServers(a, b explain.Server) int {
	switch {
	case (a.Excluded == "") != (b.Excluded == ""):
		if a.Excluded == "" {
			return -1
		}
		return 1
	case a.Cost != b.Cost:
		if a.Cost < b.Cost {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func describeRefusal(r *pipeline.Result) *explain.Refusal {
	return &explain.Refusal{Code: uint16(r.Code), Name: r.Code.Info().Name, Detail: r.Detail, RetryAfter: r.RetryAfter}
}
