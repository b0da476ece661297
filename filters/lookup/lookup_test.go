package lookup

import (
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/internal/bootclock"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

func filter(t *testing.T, keysUntil time.Duration) *Filter {
	t.Helper()
	services := []routing.WeightedService{{Service: "roster", Weight: 1}}
	table, err := routing.NewTable(routing.Config{
		Version: 1, RequireKeys: true,
		Services: []routing.Service{{Name: "roster"}},
		Routes: []routing.Route{
			{Name: "keyed", Host: "a", Prefix: "/keyed/", WeightedServices: services, Timeout: 5 * time.Second, MaxAttempts: 2, Priority: 1},
			{Name: "open", Host: "a", Prefix: "/open/", WeightedServices: services, AllowAnonymous: true},
		},
		Teams: []routing.Team{{Name: "acme", Keys: []string{"k"}, Priority: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	snap := &mesh.Snapshot{Table: table, KeyTrust: mesh.NewKeyTrust(keysUntil)}
	return &Filter{Snapshot: func() *mesh.Snapshot { return snap }, CallerService: "bookings"}
}

func request(path string, keys ...string) *pipeline.Request {
	return &pipeline.Request{Host: "a", Path: path, Credentials: keys, Received: time.Now()}
}

// Guards against requests that run without a valid key, or with a key that may have
// been withdrawn since the keys were last confirmed.
func TestKeys(t *testing.T) {
	valid, expired := bootclock.Now()+time.Hour, bootclock.Now()-time.Second
	for name, c := range map[string]struct {
		until time.Duration
		req   *pipeline.Request
		code  pipeline.Code
	}{
		"valid":               {valid, request("/keyed/1", "k"), pipeline.CodeOK},
		"unknown":             {valid, request("/keyed/1", "x"), pipeline.CodeKeyUnknown},
		"missing":             {valid, request("/keyed/1"), pipeline.CodeKeyMissing},
		"two":                 {valid, request("/keyed/1", "k", "x"), pipeline.CodeKeyAmbiguous},
		"not confirmed":       {expired, request("/keyed/1", "k"), pipeline.CodeKeysUnconfirmed},
		"open":                {valid, request("/open/1"), pipeline.CodeOK},
		"open, not confirmed": {expired, request("/open/1"), pipeline.CodeOK},
		"no route":            {valid, request("/none/1", "k"), pipeline.CodeUnknownRoute},
	} {
		result := filter(t, c.until).Handle(t.Context(), c.req)
		got := pipeline.CodeOK
		if result != nil {
			got = result.Code
		}
		if got != c.code {
			t.Errorf("%s: %v, want %v", name, got, c.code)
		}
		if c.req.Credentials != nil && got != pipeline.CodeUnknownRoute {
			t.Errorf("%s: the key was not removed from the request", name)
		}
	}
}

// Guards against a deadline later than the route or the caller allows, and against
// calls by backend servers that queue behind the requests that made them.
func TestTimeAndRank(t *testing.T) {
	f := filter(t, bootclock.Now()+time.Hour)
	req := request("/keyed/1", "k")
	req.Deadline = req.Received.Add(time.Hour)
	f.Handle(t.Context(), req)
	if left := req.Deadline.Sub(req.Received); left != 5*time.Second {
		t.Errorf("route's timeout: %v", left)
	}
	soon := request("/keyed/1", "k")
	soon.Deadline = soon.Received.Add(time.Second)
	f.Handle(t.Context(), soon)
	if left := soon.Deadline.Sub(soon.Received); left != time.Second {
		t.Errorf("caller's deadline: %v", left)
	}
	call := request("/open/1")
	call.ParentID = "parent"
	f.Handle(t.Context(), call)
	anonymous := request("/open/1")
	f.Handle(t.Context(), anonymous)
	if !call.IsCall || anonymous.IsCall || req.IsCall {
		t.Errorf("calls: %v, caller without a key: %v, with one: %v", call.IsCall, anonymous.IsCall, req.IsCall)
	}
	if call.Rank >= req.Rank || call.CallerService != "bookings" || req.Principal.Team != "acme" || req.MaxAttempts != 2 {
		t.Errorf("call %+v, request %+v", call, req)
	}
}

// Guards against a permanent refusal, such as an unknown route, while the process has
// no routing table yet.
func TestProcessWithoutConfigurationIsNotReady(t *testing.T) {
	f := &Filter{Snapshot: func() *mesh.Snapshot { return &mesh.Snapshot{} }}
	if r := f.Handle(t.Context(), request("/keyed/1", "k")); r == nil || r.Code != pipeline.CodeNotReady || r.Status != 503 {
		t.Errorf("%+v", r)
	}
}
