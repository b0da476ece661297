package capacity

import (
	"context"
	"net"

	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/fleet"
)

// pingHandler answers every ping with an acknowledgement.
type pingHandler struct{}

// HandlePeer returns the acknowledgement of a ping.
func (pingHandler) HandlePeer(_ context.Context, _ string, message any) (any, error) {
	ping := message.(membership.Ping)
	return membership.Ack{Seq: ping.Seq, From: ping.From}, nil
}

// rpcSlopes measures the processor time of one control call at both ends together,
// and the bytes that it transfers.
func rpcSlopes() ([]Slope, error) {
	registry := fleet.NewRegistry()
	fleet.Register[membership.Ping, membership.Ack](registry, "member.ping")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	traffic := &fleet.ControlStats{}
	client := fleet.NewClient("host-0000", registry, traffic, nil)
	defer client.Close()
	server := fleet.NewServer(fleet.ServerOptions{Registry: registry, Handler: pingHandler{}, Stats: &fleet.ControlStats{}, Client: client})
	go func() { _ = server.Serve(ctx, listener) }()
	processor := Slope{Name: "one control call, both ends: processor time", Per: "calls", Unit: "us"}
	bytes := Slope{Name: "one control call: bytes both ways", Per: "calls", Unit: "B"}
	ping := membership.Ping{Seq: 1, From: membership.MemberUpdate{ID: "host-0000", Incarnation: 1}, Target: "host-0001"}
	for _, n := range []int{1_000, 5_000, 20_000} {
		sent := traffic.SentBytes.Load() + traffic.ReceivedBytes.Load()
		before := processorTime()
		for range n {
			if _, err := client.Call(ctx, listener.Addr().String(), ping); err != nil {
				return nil, err
			}
		}
		processor.add(n, float64((processorTime()-before).Nanoseconds())/1e3/float64(n))
		bytes.add(n, float64(traffic.SentBytes.Load()+traffic.ReceivedBytes.Load()-sent)/float64(n))
	}
	return []Slope{processor, bytes}, nil
}
