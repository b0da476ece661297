package source

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"
)

// MaxHostListBytes limits the size of a host list answer. At the target fleet size of
// 2,700 hosts with 31,000 backend servers, a whole list has about 4 MB.
const MaxHostListBytes = 16 << 20

// HostState states whether a host accepts new requests.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving" // completes running requests before it is removed
)

// Host is one host of the fleet.
type Host struct {
	ID       string          `json:"id"`
	Zone     string          `json:"zone"`
	State    HostState       `json:"state"`
	Traffic  string          `json:"traffic"` // IP:port for requests
	Control  string          `json:"control"` // IP:port for control messages
	Backends []BackendServer `json:"backends"`
}

// BackendServer is one backend server of a host.
type BackendServer struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`   // concurrent requests
	Address string `json:"address"` // IP:port, reachable from its host
}

// HostList is one version of the host list, sorted by host identifier. It is immutable.
type HostList struct {
	Version uint64
	Hosts   []Host
}

// hostListAnswer contains either the whole list or the changes since version After.
type hostListAnswer struct {
	Version uint64   `json:"version"`
	After   uint64   `json:"after"` // 0 if the answer is a whole list
	Hosts   []Host   `json:"hosts"` // all hosts, or only added and changed ones
	Gone    []string `json:"gone"`  // identifiers of removed hosts
}

type hostListQuery struct {
	After uint64 `url:"after,omitempty"`
}

// HostListReader reads the host list and its changes. It is not safe for concurrent use.
type HostListReader struct {
	endpoint endpoint
	current  *HostList
}

// NewHostListReader returns a reader for the service at a base URL. If client is nil,
// NewClient() is used.
func NewHostListReader(base string, client *http.Client) *HostListReader {
	return &HostListReader{newEndpoint(base, client, MaxHostListBytes), nil}
}

// Read returns the newest host list read so far and reports whether this call has changed
// it. A malformed answer results in an error and changes nothing. An older version than
// the current one is ignored, since the service may serve outdated copies.
func (r *HostListReader) Read(ctx context.Context) (list *HostList, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	var answer hostListAnswer
	status, err := r.endpoint.getDecoded(ctx, "/v1/hosts", hostListQuery{r.version()}, nil, &answer)
	if err != nil {
		return r.current, false, err
	}
	if status == http.StatusNoContent || answer.Version <= r.version() {
		return r.current, false, nil
	}
	next, err := applyAnswer(r.current, answer)
	if err != nil {
		return r.current, false, err
	}
	r.current = next
	return next, true, nil
}

// version returns the version of the current list, or 0 if there is none.
func (r *HostListReader) version() uint64 {
	if r.current == nil {
		return 0
	}
	return r.current.Version
}

// applyAnswer returns the list that results from an answer. It validates all hosts in it.
func applyAnswer(current *HostList, answer hostListAnswer) (*HostList, error) {
	byID, err := hostsAtVersion(current, answer.After)
	if err != nil {
		return nil, err
	}
	for _, id := range answer.Gone {
		delete(byID, id)
	}
	seen := make(map[string]bool, len(answer.Hosts))
	for _, host := range answer.Hosts {
		if seen[host.ID] {
			return nil, eris.Errorf("host list version %d: host %q appears twice", answer.Version, host.ID)
		}
		if err := validateHost(host); err != nil {
			return nil, eris.Wrapf(err, "host list version %d", answer.Version)
		}
		seen[host.ID] = true
		byID[host.ID] = host
	}
	hosts := make([]Host, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		hosts = append(hosts, byID[id])
	}
	return &HostList{Version: answer.Version, Hosts: hosts}, nil
}

// hostsAtVersion returns the hosts to which the changes since version after apply: those
// of the current list, or none if after is 0, which marks a whole list.
func hostsAtVersion(current *HostList, after uint64) (map[string]Host, error) {
	byID := make(map[string]Host)
	if after == 0 {
		return byID, nil
	}
	if current == nil || current.Version != after {
		return nil, eris.Errorf("host list: answer has changes since version %d, which is not the current version", after)
	}
	for _, host := range current.Hosts {
		byID[host.ID] = host
	}
	return byID, nil
}

func validateHost(host Host) error {
	if host.ID == "" || host.Zone == "" {
		return eris.Errorf("host %q in zone %q: identifier and zone are required", host.ID, host.Zone)
	}
	if host.State != HostLive && host.State != HostLeaving {
		return eris.Errorf("host %q: unknown state %q", host.ID, host.State)
	}
	for _, address := range []string{host.Traffic, host.Control} {
		if err := validateAddress(address); err != nil {
			return eris.Wrapf(err, "host %q", host.ID)
		}
	}
	ids := make(map[string]bool, len(host.Backends))
	for _, backend := range host.Backends {
		if err := validateBackend(backend); err != nil {
			return eris.Wrapf(err, "host %q", host.ID)
		}
		if ids[backend.ID] {
			return eris.Errorf("host %q: backend server %q appears twice", host.ID, backend.ID)
		}
		ids[backend.ID] = true
	}
	return nil
}

func validateBackend(backend BackendServer) error {
	if backend.ID == "" || backend.Service == "" || backend.Slots < 1 {
		return eris.Errorf("backend server %q: identifier, service and at least one slot are required", backend.ID)
	}
	return eris.Wrapf(validateAddress(backend.Address), "backend server %q", backend.ID)
}

// validateAddress accepts IP addresses only, since processes do not resolve host names.
func validateAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return eris.Wrapf(err, "invalid address %q", address)
	}
	return nil
}
