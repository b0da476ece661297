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

// memoryPlatform serves one version of a configuration and of the host list from memory.
type memoryPlatform struct {
	values map[string][]byte
	hosts  control.HostsRead
}

func (p memoryPlatform) Value(_ context.Context, name string) ([]byte, error) {
	return p.values[name], nil
}

func (p memoryPlatform) Hosts(context.Context) (control.HostsRead, error) { return p.hosts, nil }

// instantBackend is a backend server that answers at once without allocating.
type instantBackend struct{ response *http.Response }

func (a instantBackend) RoundTrip(*http.Request) (*http.Response, error) { return a.response, nil }

func newInstantBackend() instantBackend {
	return instantBackend{&http.Response{
		Proto:      "HTTP/1.1",
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"text/plain"}},
		Body:       http.NoBody,
		Request:    &http.Request{Method: http.MethodGet},
	}}
}

// inProcessHop passes an attempt to the exit chain of the same process.
type inProcessHop struct{ node *Node }

func (h inProcessHop) Do(ctx context.Context, sent *pipeline.Request, _, backend string) fleet.HopAnswer {
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

// startAllocsNode starts a process without listeners. Its only backend server is in
// memory.
func startAllocsNode(t *testing.T, ctx context.Context) *Node {
	t.Helper()
	p := allocsPlatform(t)
	settings := Settings{ID: "host-0", Zone: "zone-1", FleetPlain: true, HostsInterval: time.Second, LedgerWindow: time.Minute}
	n, err := New(settings, Platform{Config: p, Hosts: p}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.healthClient.Transport, n.exitProxies.transport = newInstantBackend(), newInstantBackend()
	for _, f := range n.entryChain {
		if hop, ok := f.(*forward.Filter); ok {
			hop.Sender = inProcessHop{n}
		}
	}
	n.startBackground(ctx)
	for range 100 {
		if _, ok := n.exitProxies.chain(allocsBackend); ok && n.Ready() {
			return n
		}
		time.Sleep(100 * time.Millisecond) // virtual time
	}
	t.Fatal("the process did not become ready")
	return nil
}

// runLookup runs one request through the entry chain.
func runLookup(ctx context.Context, n *Node, header pipeline.Header, credentials []string) *pipeline.Result {
	now := time.Now()
	req := &pipeline.Request{
		Method: http.MethodGet, Path: "/lookup/item", Host: "example", Header: header,
		Received: now, Credentials: credentials,
	}
	result := n.entryChain.Run(ctx, req)
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	return result
}

// maxAllocsPerRequest is the sum of the allocations that the chains need: three contexts
// (of the request, the attempt and the call to the backend server) with timers and done
// channels (18); one attempt in a goroutine with its copy of the request, its identifier
// and its result channel (10); a queue entry and two updates of the published load (4);
// the outgoing request with its URL, header and trace (16); the answer with its header
// (4); five completion hooks (5); four events for the control loop (4); and the two
// requests and the result that the test itself allocates (3).
const maxAllocsPerRequest = 64

// Guards against a filter whose allocations for each request increase, which adds
// garbage collection work to every request.
func TestAllocationsPerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := startAllocsNode(t, ctx)
		header := pipeline.Header{"Accept": {"text/plain"}}
		credentials := []string{allocsKey}
		for range 500 {
			time.Sleep(time.Millisecond) // virtual time
			if result := runLookup(ctx, n, header, credentials); result.Code != pipeline.CodeOK {
				t.Fatalf("%s: %s", result.Code, result.Detail)
			}
		}
		allocs := testing.AllocsPerRun(1000, func() {
			time.Sleep(time.Millisecond) // virtual time: 1,000 requests a second
			runLookup(ctx, n, header, credentials)
		})
		t.Logf("%.1f allocations for a request", allocs)
		if allocs > maxAllocsPerRequest {
			t.Errorf("%.1f allocations for a request, want at most %d", allocs, maxAllocsPerRequest)
		}
		cancel()
		synctest.Wait()
	})
}
