package mesh

import (
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// warmUp returns the warm-up time of a service's servers, and whether the configuration
// limits the rate of cold ones.
func (s *state) warmUp(service string) (duration time.Duration, limited bool) {
	if s.table == nil {
		return 0, false
	}
	duration, rate := s.table.WarmUp(service)
	return duration, rate > 0
}

// warmUpUntil returns until when a server is cold: it also counts as cold after the end of
// an evacuation of its zone, where the configuration limits the rate of cold servers.
func (s *state) warmUpUntil(server *serverRecord) time.Time {
	returned, ok := s.returnedAt[server.Zone]
	if !ok {
		return server.warmUpUntil
	}
	duration, limited := s.warmUp(server.Service)
	if !limited {
		return server.warmUpUntil
	}
	return latest(server.warmUpUntil, returned.Add(duration))
}

// minWarmUpExtension is more than the differences in the age of two entries: a server
// writes its entry at intervals, and it is read with some delay.
const minWarmUpExtension = time.Second

// coldAgain reports whether an entry says that a running server has become cold again.
// It matters where the configuration limits the rate of cold servers.
func (s *serversStage) coldAgain(now time.Time, old *serverRecord, server *Server) bool {
	_, limited := s.state.warmUp(server.Service)
	return limited && server.WarmUpLeft-max(old.warmUpUntil.Sub(now), 0) >= minWarmUpExtension
}

// repeatWarmUps sends the entries of cold servers to the processes beside them each time a
// store reader reads them: an announcement may have been lost, and digests of the list do
// not show whether a server is cold.
func (s *serversStage) repeatWarmUps(read ServerListRead, out *control.Output) {
	if !s.state.storeReader || read.Source != FromStore {
		return
	}
	for _, server := range read.Put {
		known := s.state.servers[server.ID]
		if known == nil || contradicts(server, known.Server, false) {
			continue // held back
		}
		_, limited := s.state.warmUp(server.Service)
		if limited && server.WarmUpLeft >= minWarmUpExtension && s.state.peers[server.Host] != nil {
			change := notice.ServerListChange{Revision: read.Revision, Put: []notice.Server{encodeServer(server)}}
			out.Emit(SendMessage{Hosts: []string{server.Host}, Message: notice.Message{ServerListChange: &change, Era: read.Era}})
		}
	}
}
