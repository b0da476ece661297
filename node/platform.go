package node

import (
	"context"
	"net/http"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/source"
)

// HTTPPlatform returns readers of the platform's services at their base URLs.
func HTTPPlatform(configURL, hostsURL string) Platform {
	client := newSourceClient()
	return Platform{
		Config: source.NewConfigReader(configURL, client),
		Hosts:  &hostReader{reader: source.NewHostListReader(hostsURL, client)},
	}
}

// newSourceClient returns a client for the readers of package source. An answer with an invalid
// head is an error.
func newSourceClient() *http.Client {
	client := source.NewClient()
	client.Transport = httpsend.CheckHeads(client.Transport)
	return client
}

// hostReader reads the platform's host list as an event for the control loop.
type hostReader struct {
	reader *source.HostListReader
}

// Hosts returns the newest host list.
func (r *hostReader) Hosts(ctx context.Context) (control.HostsRead, error) {
	list, _, err := r.reader.Read(ctx)
	if err != nil {
		return control.HostsRead{}, err
	}
	if list == nil {
		return control.HostsRead{}, nil
	}
	read := control.HostsRead{Version: list.Version, Hosts: make([]control.Host, 0, len(list.Hosts))}
	for _, h := range list.Hosts {
		read.Hosts = append(read.Hosts, convertHost(h))
	}
	return read, nil
}

func convertHost(h source.Host) control.Host {
	host := control.Host{
		ID:          h.ID,
		Zone:        h.Zone,
		Leaving:     h.State == source.HostLeaving,
		TrafficAddr: h.Traffic,
		ControlAddr: h.Control,
	}
	for _, b := range h.Backends {
		host.Backends = append(host.Backends, control.Backend{
			ID: b.ID, Service: b.Service, Addr: b.Address, Slots: b.Slots,
		})
	}
	return host
}
