package node

import (
	"context"
	"crypto/sha256"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/filters/forward"
	"github.com/ragwortyard/ragwortyard/fleet"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// memoryPlatform holds one version of a configuration and of the host list.
type memoryPlatform struct {
	values map[string][]byte
	hosts  control.HostsRead
}

func (p memoryPlatform) Value(_ context.Context, name string) ([]byte, error) {
	return p.values[name], nil
}

func (p memoryPlatform) Hosts(context.Context) (control.HostsRead, error) { return p.hosts, nil }

// answering is a backend server that answers at once without allocating.
type answering struct{ response *http.Response }

func (a answering) RoundTrip(*http.Request) (*http.Response, error) { return a.response, nil }

func newAnswering() answering {
	return answering{&http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"text/plain"}},
		Body:       http.NoBody,
		Request:    &http.Request{Method: http.MethodGet},
	}}
}

// localHop passes an attempt to the exit chain of the same process.
type localHop struct{ node *Node }

func (h localHop) Do(ctx context.Context, sent *pipeline.Request, _, backend string) fleet.HopAnswer {
	chain, ok := h.node.exitChain(backend)
	if !ok {
		return fleet.HopAnswer{Result: pipeline.Refuse(pipeline.CodeWrongExit, "")}
	}
	req := &pipeline.Request{
		ID: sent.ID, Method: sent.Method, Path: sent.Path, Host: sent.Host, Header: sent.Header,
		Received: sent.Received, Deadline: sent.Deadline, Principal: sent.Principal,
		Route: sent.Route, Service: sent.Service, Class: sent.Class,
	}
	result := chain.Run(ctx, req)
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	return fleet.HopAnswer{Result: result}
}

const (
	allocsKey     = "key-of-the-blue-team"
	allocsService = "lookup"
	allocsBackend = "lookup-0"
)

func allocsPlatform(t *testing.T) memoryPlatform {
	t.Helper()
	doc := config.Fleet{
		Classes:  []config.Class{{Name: "lookup", Idempotent: true, TargetLatency: time.Second, Worth: 1, DefaultDeadline: time.Second}},
		Services: []config.Service{{Name: allocsService, CapacityFloor: 0.5, Class: "lookup"}},
		Routes:   []config.Route{{Name: "lookup", Methods: []string{"GET"}, Prefix: "/lookup", Service: allocsService}},
	}
	key := config.Key{ID: "first", Digest: sha256.Sum256([]byte(allocsKey))}
	team := config.Team{Name: "blue", Rate: 100_000, Burst: 100_000, Keys: []config.Key{key}}
	manifest, parts, err := config.Build(1, 1, doc, []config.Team{team})
	if err != nil {
		t.Fatal(err)
	}
	p := memoryPlatform{values: map[string][]byte{config.ManifestName: manifest}}
	for name, value := range parts {
		p.values[name] = value
	}
	p.hosts = control.HostsRead{Version: 1, Hosts: []control.Host{{
		ID: "host-0", Zone: "zone-1", TrafficAddr: "127.0.0.1:1", ControlAddr: "127.0.0.1:2",
		Backends: []control.Backend{{ID: allocsBackend, Service: allocsService, Addr: "127.0.0.1:3", Slots: 7}},
	}}}
	return p
}

// startAllocsNode starts a process without listeners whose backend server answers
// in memory.
func startAllocsNode(t *testing.T, ctx context.Context) *Node {
	t.Helper()
	p := allocsPlatform(t)
	settings := Settings{ID: "host-0", Zone: "zone-1", FleetPlain: true, HostsInterval: time.Second, LedgerWindow: time.Minute}
	n, err := New(settings, Platform{Config: p, Hosts: p}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.probes.Transport, n.exits.transport = newAnswering(), newAnswering()
	for _, f := range n.entry {
		if hop, ok := f.(*forward.Filter); ok {
			hop.Sender = localHop{n}
		}
	}
	n.startBackground(ctx)
	for range 100 {
		if _, ok := n.exits.chain(allocsBackend); ok && n.Ready() {
			return n
		}
		time.Sleep(100 * time.Millisecond) // virtual time
	}
	t.Fatal("the process did not become ready")
	return nil
}

func lookup(ctx context.Context, n *Node, header pipeline.Header, credentials []string) *pipeline.Result {
	now := time.Now()
	req := &pipeline.Request{
		Method: http.MethodGet, Path: "/lookup/item", Host: "example", Header: header,
		Received: now, Credentials: credentials,
	}
	result := n.entry.Run(ctx, req)
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	return result
}

// maxAllocs adds up what the filters need by their jobs: three contexts, of the
// request, the attempt and the call to the backend server, with timers and done
// channels (18); one attempt in a goroutine, with its copy of the request, its
// identifier and the channel that it reports on (10); a place in the queue and the
// load published twice (4); the outgoing request with its URL, header and trace
// (16); the answer with its header (4); five hooks on completion (5); four events
// for the control loop (4); the two requests of the test itself and its result (3).
const maxAllocs = 64

// Guards against filters that allocate more for each request.
func TestAllocationsForARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := startAllocsNode(t, ctx)
		header := pipeline.Header{"Accept": {"text/plain"}}
		credentials := []string{allocsKey}
		for range 500 {
			time.Sleep(time.Millisecond) // virtual time
			if result := lookup(ctx, n, header, credentials); result.Code != pipeline.CodeOK {
				t.Fatalf("%s: %s", result.Code, result.Detail)
			}
		}
		allocs := testing.AllocsPerRun(1000, func() {
			time.Sleep(time.Millisecond) // virtual time: 1,000 requests a second
			lookup(ctx, n, header, credentials)
		})
		t.Logf("%.1f allocations for a request", allocs)
		if allocs > maxAllocs {
			t.Errorf("%.1f allocations for a request, at most %d are accounted for", allocs, maxAllocs)
		}
		cancel()
		synctest.Wait()
	})
}
