package source

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

func startConfigService(t *testing.T) (*fakes.ConfigService, *ConfigReader) {
	t.Helper()
	service, err := fakes.NewConfigService()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return service, NewConfigReader(service.URL(), nil)
}

func publish(t *testing.T, service *fakes.ConfigService, version uint64) {
	t.Helper()
	if err := service.PublishDocuments(version, 2, config.Fleet{}, nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against values that are changed by the read, which would no longer match their
// digests, and against accepting values of unlimited size.
func TestConfigValue(t *testing.T) {
	service, reader := startConfigService(t)
	fits := []byte(strings.Repeat("x", config.MaxValueSize))
	service.Publish(1, []byte("{}"), map[string][]byte{"fits": fits, "huge": append(fits, 'x')})
	got, err := reader.Value(t.Context(), "fits")
	if err != nil || !reflect.DeepEqual(got, fits) {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
	if _, err := reader.Value(t.Context(), "huge"); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a value of 1,000,001 bytes: %v", err)
	}
	var status *StatusError
	if _, err := reader.Value(t.Context(), "none/x"); !errors.As(err, &status) || status.Status != http.StatusNotFound {
		t.Errorf("a value that does not exist: %v", err)
	}
}

// Guards against a read that blocks forever when the service does not respond, and
// against an outage that is returned as an empty value.
func TestConfigServiceOutage(t *testing.T) {
	service, reader := startConfigService(t)
	publish(t, service, 1)
	service.SetOutage(fakes.Failing)
	if data, err := reader.Value(t.Context(), config.ManifestName); err == nil || data != nil {
		t.Errorf("failing service: %q, %v", data, err)
	}
	service.SetOutage(fakes.Unresponsive)
	if _, err := reader.Value(t.Context(), config.ManifestName); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("silent service: %v", err)
	}
	service.SetOutage(fakes.Available)
	if _, err := reader.Value(t.Context(), config.ManifestName); err != nil {
		t.Errorf("after the outage: %v", err)
	}
}

func newHost(id, state string) fakes.Host {
	return fakes.Host{
		ID: id, Zone: "z1", State: state, Traffic: "10.0.0.1:8080", Control: "10.0.0.1:8081",
		Backends: []fakes.HostBackend{{ID: id + "-b", Service: "roster", Slots: 7, Address: "127.0.0.1:9000"}},
	}
}

// Guards against a list built from changes that differs from the whole list, and against
// a fake service that serves changes before its configured lag has passed.
func TestHostListFollowsChanges(t *testing.T) {
	list, err := fakes.NewHostList()
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	follower := NewHostListReader(list.URL(), nil)
	list.Set([]fakes.Host{newHost("b", "live"), newHost("a", "live"), newHost("c", "live")})
	steps := []func(){
		func() {},
		func() { list.SetState("b", "leaving") },
		func() { list.Remove("a"); list.Remove("b") },
		func() { list.Set([]fakes.Host{newHost("d", "live"), newHost("c", "live")}) },
	}
	for i, step := range steps {
		step()
		got, changed, err := follower.Read(t.Context())
		want, _, wholeErr := NewHostListReader(list.URL(), nil).Read(t.Context())
		if err != nil || wholeErr != nil || !changed || !reflect.DeepEqual(got, want) {
			t.Fatalf("step %d: got %+v, %t, %v, want %+v, %v", i, got, changed, err, want, wholeErr)
		}
	}
	list.SetLag(time.Hour)
	list.Remove("c")
	if got, changed, err := follower.Read(t.Context()); err != nil || changed || len(got.Hosts) != 2 {
		t.Errorf("before the lag has passed: %+v, %t, %v", got, changed, err)
	}
}

// Guards against replacing a valid host list with a malformed or older one.
func TestHostListRejectsBadAnswers(t *testing.T) {
	const good = `{"version":9,"hosts":[{"id":"a","zone":"z","state":"live","traffic":"10.0.0.1:1","control":"10.0.0.1:2"}]}`
	answer := good
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	reader := NewHostListReader(server.URL, nil)
	first, _, err := reader.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{
		`{"version":8,"hosts":[]}`,
		`{"version":10,"hosts":[`,
		`{"version":10,"after":7,"hosts":[]}`,
		strings.NewReplacer("9,", "10,", "10.0.0.1:1", "host:1").Replace(good),
		strings.NewReplacer("9,", "10,", "live", "gone").Replace(good),
		strings.NewReplacer("9,", "10,", `"z"`, `""`).Replace(good),
		strings.NewReplacer("9,", "10,", `"zone"`, `"backends":[{"id":"b","service":"s","slots":0,"address":"10.0.0.1:3"}],"zone"`).Replace(good),
	} {
		answer = bad
		if got, changed, _ := reader.Read(t.Context()); changed || got != first {
			t.Errorf("%s replaced the valid list", bad)
		}
	}
}

// Guards against health and load answers that are decoded wrongly.
func TestBackendHealthAndLoad(t *testing.T) {
	fake, err := fakes.NewBackend(fakes.BackendOptions{Slots: 3, ColdStart: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer fake.Close()
	backend := NewBackendReader(fake.Address(), nil)
	for _, c := range []struct {
		behavior fakes.Behavior
		want     HealthStatus
	}{
		{fakes.Behavior{}, HealthStarting},
		{fakes.Behavior{Draining: true}, HealthDraining},
		{fakes.Behavior{Unhealthy: true}, HealthFailing},
	} {
		fake.UpdateBehavior(func(b *fakes.Behavior) { *b = c.behavior })
		if health, err := backend.Health(t.Context()); err != nil || health.Status != c.want {
			t.Errorf("got %q, %v, want %q", health.Status, err, c.want)
		}
	}
	if load, err := backend.Load(t.Context()); err != nil || load != (Load{Slots: 3}) {
		t.Errorf("load %+v, %v", load, err)
	}
	fake.Close()
	if _, err := backend.Health(t.Context()); err == nil {
		t.Error("no error from a closed backend server")
	}
}

// Guards against a reader that follows a redirect to an address outside the settings.
func TestRedirectsAreNotFollowed(t *testing.T) {
	server := httptest.NewServer(http.RedirectHandler("http://127.0.0.1:1/", http.StatusFound))
	defer server.Close()
	var status *StatusError
	if _, err := NewConfigReader(server.URL, nil).Value(t.Context(), "fleet"); !errors.As(err, &status) {
		t.Errorf("got %v, want a StatusError", err)
	}
}
