package sidecar

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/fleet/hop"
	"github.com/ragwortyard/ragwortyard/platform"
)

// peerFetcher fetches the configuration and the list of backend servers from peers for the
// control loop, which reads the store where that fails.
type peerFetcher struct {
	fetch   func(ctx context.Context, host, path string) ([]byte, error)
	post    func(ctx context.Context, ev control.Event) error
	log     *zap.Logger
	configs chan mesh.FetchConfig
	servers chan mesh.FetchServers
}

func newPeerFetcher(fetch func(ctx context.Context, host, path string) ([]byte, error), post func(context.Context, control.Event) error, log *zap.Logger) *peerFetcher {
	return &peerFetcher{
		fetch: fetch, post: post, log: log,
		configs: make(chan mesh.FetchConfig, 1), servers: make(chan mesh.FetchServers, 1),
	}
}

// requestConfig queues a fetch without waiting. It drops the fetch if another one is
// queued: the control loop does without a configuration that does not arrive.
func (f *peerFetcher) requestConfig(wanted mesh.FetchConfig) {
	select {
	case f.configs <- wanted:
	default:
		f.log.Info("a configuration is already being fetched", zap.Uint64("version", wanted.Version))
	}
}

// requestServers queues a fetch without waiting. It drops the fetch if another one is
// queued: the next answer of a reader repeats it.
func (f *peerFetcher) requestServers(wanted mesh.FetchServers) {
	select {
	case f.servers <- wanted:
	default:
		f.log.Info("the list of backend servers is already being fetched", zap.String("host", wanted.Host))
	}
}

// run fetches until ctx is done.
func (f *peerFetcher) run(ctx context.Context) {
	for {
		var ev control.Event
		select {
		case <-ctx.Done():
			return
		case wanted := <-f.configs:
			ev = f.fetchConfig(ctx, wanted)
		case wanted := <-f.servers:
			ev = f.fetchServers(ctx, wanted)
		}
		if err := f.post(ctx, ev); err != nil && ctx.Err() == nil {
			f.log.Error("cannot post an event to the control loop", zap.Error(err))
		}
	}
}

// fetchConfig returns the event that reports the result of a fetch.
func (f *peerFetcher) fetchConfig(ctx context.Context, wanted mesh.FetchConfig) control.Event {
	document, err := f.fetchDocument(ctx, wanted.Host, hop.ConfigurationPath)
	if err != nil {
		return mesh.ConfigNotFetched{Version: wanted.Version}
	}
	table, err := platform.DecodeDocument(document)
	if err == nil && table.Version() < wanted.Version {
		err = fmt.Errorf("the peer has version %d, wanted %d", table.Version(), wanted.Version)
	}
	if err != nil {
		f.log.Warn("cannot use the configuration of a peer", zap.String("host", wanted.Host), zap.Error(err))
		return mesh.ConfigNotFetched{Version: wanted.Version}
	}
	return mesh.TableRead{Table: table, Document: document}
}

// fetchServers returns the event that reports the result of a fetch.
func (f *peerFetcher) fetchServers(ctx context.Context, wanted mesh.FetchServers) control.Event {
	document, err := f.fetchDocument(ctx, wanted.Host, hop.ServersPath)
	if err != nil {
		return mesh.ServersNotFetched{}
	}
	list, err := mesh.DecodeServerList(document)
	if err != nil {
		f.log.Warn("cannot use the list of backend servers of a peer", zap.String("host", wanted.Host), zap.Error(err))
		return mesh.ServersNotFetched{}
	}
	list.Host = wanted.Host
	return list
}

// fetchDocument fetches a document and logs the result.
func (f *peerFetcher) fetchDocument(ctx context.Context, host, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, mesh.PeerFetchTimeout)
	defer cancel()
	started := time.Now()
	document, err := f.fetch(ctx, host, path)
	took := zap.Int64("took_ms", time.Since(started).Milliseconds())
	if err != nil {
		f.log.Warn("cannot fetch from a peer", zap.String("host", host), zap.String("path", path), took, zap.Error(err))
		return nil, err
	}
	f.log.Info("fetched from a peer", zap.String("host", host), zap.String("path", path), took, zap.Int("bytes", len(document)))
	return document, nil
}

// fetchFromPeer returns a document of the process on a host.
func (s *Sidecar) fetchFromPeer(ctx context.Context, host, path string) ([]byte, error) {
	return s.peers.FetchDocument(ctx, net.JoinHostPort(host, portOf(s.settings.PeersAddr)), path)
}

// documents returns the documents that this process offers to its peers, by path.
func (s *Sidecar) documents() map[string]func() []byte {
	return map[string]func() []byte{
		hop.ConfigurationPath: func() []byte { return s.loop.Snapshot().Document },
		hop.ServersPath: func() []byte {
			list, err := mesh.EncodeServerList(time.Now(), s.loop.Snapshot())
			if err != nil {
				s.log.Error("cannot encode the list of backend servers", zap.Error(err))
			}
			return list
		},
	}
}
