package fakes

import (
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the host list in the JSON format of the platform.
type Host struct {
	ID       string        `json:"id"`
	Zone     string        `json:"zone"`
	State    string        `json:"state"` // "live" or "leaving"
	Traffic  string        `json:"traffic"`
	Control  string        `json:"control"`
	Backends []HostBackend `json:"backends"`
}

// HostBackend is a backend server of a host.
type HostBackend struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Address string `json:"address"`
}

// hostVersion is one version of the list and the time from which it is served.
type hostVersion struct {
	version uint64
	visible time.Time
	hosts   []Host
}

type hostListResponse struct {
	Version uint64   `json:"version"`
	After   uint64   `json:"after,omitempty"`
	Hosts   []Host   `json:"hosts"`
	Gone    []string `json:"gone,omitempty"`
}

// HostList is a fake of the platform's list of live and leaving hosts.
type HostList struct {
	fakeService

	mu      sync.Mutex
	lag     time.Duration
	history []hostVersion
	reads   int
}

// NewHostList starts a list without hosts, at version 0.
func NewHostList() (*HostList, error) {
	l := &HostList{history: []hostVersion{{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", l.serveHosts)
	return l, l.start(mux)
}

// SetLag delays the publication of later changes by the given time.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set replaces the list.
func (l *HostList) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(slices.Clone(hosts))
}

// SetState changes the state of one host.
func (l *HostList) SetState(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := slices.Clone(l.history[len(l.history)-1].hosts)
	for i := range hosts {
		if hosts[i].ID == id {
			hosts[i].State = state
		}
	}
	l.append(hosts)
}

// Remove removes one host from the list.
func (l *HostList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := slices.Clone(l.history[len(l.history)-1].hosts)
	l.append(slices.DeleteFunc(hosts, func(h Host) bool { return h.ID == id }))
}

// Reads returns how many times the list was read.
func (l *HostList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// append adds a version. The caller holds the lock.
func (l *HostList) append(hosts []Host) {
	last := l.history[len(l.history)-1]
	l.history = append(l.history, hostVersion{last.version + 1, time.Now().Add(l.lag), hosts})
}

func (l *HostList) serveHosts(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	now, base := l.read(after)
	switch {
	case after > 0 && now.version <= after:
		w.WriteHeader(http.StatusNoContent)
	case base == nil:
		writeJSON(w, http.StatusOK, hostListResponse{Version: now.version, Hosts: now.hosts})
	default:
		writeJSON(w, http.StatusOK, hostChanges(base, now))
	}
}

// read returns the version that is currently served, and the version that the client
// already has, or nil if that one is unknown.
func (l *HostList) read(after uint64) (now hostVersion, base *hostVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	current := time.Now()
	for i := range l.history {
		v := l.history[i]
		if v.visible.After(current) {
			break
		}
		now = v
		if v.version == after && after > 0 {
			base = &v
		}
	}
	return now, base
}

func hostChanges(base *hostVersion, now hostVersion) hostListResponse {
	response := hostListResponse{Version: now.version, After: base.version, Hosts: []Host{}}
	before := make(map[string]Host)
	for _, host := range base.hosts {
		before[host.ID] = host
	}
	for _, host := range now.hosts {
		if !reflect.DeepEqual(before[host.ID], host) {
			response.Hosts = append(response.Hosts, host)
		}
		delete(before, host.ID)
	}
	for id := range before {
		response.Gone = append(response.Gone, id)
	}
	slices.Sort(response.Gone)
	return response
}
