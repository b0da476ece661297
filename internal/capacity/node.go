package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/ejection"
	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// envelopeOverheadBytes is the size that the JSON-RPC frames and the envelopes of
// package fleet add to a message and its reply together.
const envelopeOverheadBytes = 130

// fakePeers simulates all other processes of the fleet: it answers the commands of
// one control loop immediately and counts the messages.
type fakePeers struct {
	self         string
	placement    *lease.Placement
	stamp        spread.Stamp
	queue        []control.Call
	serviceReads int
	nextRenewal  time.Time
	renewalsSent time.Duration
	traffic      map[string]*messageCount
}

// messageCount counts messages and their bytes.
type messageCount struct {
	Messages int
	Bytes    int // requests and replies, including frames
}

// Send queues a call, or counts a read of the configuration service.
func (p *fakePeers) Send(cmd control.Command) bool {
	switch c := cmd.(type) {
	case control.Call:
		p.queue = append(p.queue, c)
	case control.ReadService:
		p.serviceReads++
	}
	return true
}

// answer returns the reply of a healthy peer.
func (p *fakePeers) answer(c control.Call) any {
	switch m := c.Message.(type) {
	case lease.PromiseRequest:
		return p.promise(m)
	case spread.ManifestRequest:
		return spread.Manifest{Stamp: p.stamp, Seq: m.Seq, AgeMS: 400}
	case membership.Ping:
		return membership.Ack{Seq: m.Seq, From: membership.MemberUpdate{ID: c.Peer, Incarnation: 1}}
	case control.HealthReport:
		return control.HealthReportReply{Leader: true, Epoch: 1}
	case quota.TokenRequest:
		return quota.Grant{Key: m.Key, Holder: m.Holder, Seq: m.Seq, Tokens: m.Need, Version: 1}
	}
	return control.Ack{}
}

// promise grants the shards for which the process ranks first and refuses the
// others: as in a healthy fleet, they have another leader.
func (p *fakePeers) promise(m lease.PromiseRequest) lease.PromiseReply {
	reply := lease.PromiseReply{Voter: m.Voter, Candidate: m.Candidate, Sent: m.Sent}
	for _, shard := range m.Shards {
		if p.placement.Rank(shard, p.self) == 0 {
			reply.Promised = append(reply.Promised, shard)
			continue
		}
		leader := p.placement.Voters(shard)[0].ID
		reply.Refused = append(reply.Refused, lease.Refusal{Shard: shard, Leader: leader})
	}
	return reply
}

// heldShards returns the number of shards for which the process ranks first.
func (p *fakePeers) heldShards() int {
	n := 0
	for shard := range uint32(rendezvous.ShardCount) {
		if p.placement.Rank(shard, p.self) == 0 {
			n++
		}
	}
	return n
}

// renewOtherLeases sends the renewals of the other leaders to the voter of the
// process, so that it knows that those shards have a leader.
func (p *fakePeers) renewOtherLeases(loop *control.Loop[control.Snapshot], now time.Time) {
	if now.Before(p.nextRenewal) {
		return
	}
	p.nextRenewal = now.Add(lease.RenewInterval)
	p.renewalsSent++
	for shard := range uint32(rendezvous.ShardCount) {
		if p.placement.Rank(shard, p.self) <= 0 {
			continue
		}
		leader := lease.CandidateID{Host: p.placement.Voters(shard)[0].ID, Incarnation: 1}
		request := lease.PromiseRequest{Voter: p.self, Candidate: leader, Sent: p.renewalsSent, Shards: []uint32{shard}}
		loop.Step(now, control.PeerRequest{From: leader.Host, Message: request, Reply: make(chan any, 1)})
	}
}

func (p *fakePeers) count(c control.Call, reply any) {
	kind := fmt.Sprintf("%T", c.Message)
	n := p.traffic[kind]
	if n == nil {
		n = &messageCount{}
		p.traffic[kind] = n
	}
	n.Messages++
	n.Bytes += encodedBytes(c.Message, reply)
}

// encodedBytes returns the encoded size of a message and its reply, including
// frames.
func encodedBytes(request, reply any) int {
	a, _ := json.Marshal(request)
	b, _ := json.Marshal(reply)
	return len(a) + len(b) + envelopeOverheadBytes
}

// nodeCost is the cost of one idle control loop.
type nodeCost struct {
	ProcessorTime    time.Duration // per second of virtual time, without encoding and sockets
	HeapMB           float64
	Traffic          map[string]*messageCount
	VirtualSeconds   int
	HeldShards       int     // shards for which the process ranks first
	HostChangeMillis float64 // to process a host list with one host replaced
}

// meanBytesPerSecond returns the bytes per second that a kind of message costs a
// process, averaged over the fleet. Lease messages are scaled to the mean number of
// shards per process, because only they depend on the shards that a process holds.
func (c nodeCost) meanBytesPerSecond(kind string, hosts int) float64 {
	rate := float64(c.Traffic[kind].Bytes) / float64(c.VirtualSeconds)
	if kind != leaseMessageKind || c.HeldShards == 0 {
		return rate
	}
	return rate / float64(c.HeldShards) * rendezvous.ShardCount / float64(hosts)
}

// leaseMessageKind is the kind of the messages with which leaders renew leases.
var leaseMessageKind = fmt.Sprintf("%T", lease.PromiseRequest{})

// measureNode runs the control loop of one process in a fleet of n hosts for the
// given number of seconds of virtual time.
func measureNode(n, seconds int) nodeCost {
	start := time.Unix(1_800_000_000, 0)
	var loop *control.Loop[control.Snapshot]
	p := &fakePeers{self: hostID(0), placement: lease.NewPlacement(membersOf(n)), traffic: make(map[string]*messageCount)}
	heap := measureHeapMB(func() any {
		loop = control.New(control.Options{
			Self:              control.Self{ID: hostID(0), Zone: "zone-0", Incarnation: 1, Started: start},
			Seed:              1,
			EjectionReporting: ejection.ReportingInfrequent,
			LedgerWindow:      5 * time.Minute,
			TokenCaches:       &control.TokenCacheTable{},
		}, p)
		loop.Step(start, control.HostsRead{Version: 1, Hosts: hostsOf(n)})
		return loop
	})
	warm := start.Add(10 * time.Second) // counting starts once the leases are stable
	p.run(loop, start, warm)
	p.traffic = make(map[string]*messageCount)
	before := processorTime()
	p.run(loop, warm, warm.Add(time.Duration(seconds)*time.Second))
	processor := (processorTime() - before) / time.Duration(seconds)
	return nodeCost{
		ProcessorTime:    processor,
		HostChangeMillis: hostChangeMillis(loop, n, warm.Add(time.Duration(seconds)*time.Second)),
		HeapMB:           heap,
		Traffic:          p.traffic,
		VirtualSeconds:   seconds,
		HeldShards:       p.heldShards(),
	}
}

// hostChangeMillis returns the time in ms that the loop takes to process a host list
// in which one host is replaced.
func hostChangeMillis(loop *control.Loop[control.Snapshot], n int, now time.Time) float64 {
	var lists []control.HostsRead
	for round := range timingRounds {
		hosts := hostsOf(n)
		hosts[n-1].ID = fmt.Sprintf("host-new-%d", round)
		lists = append(lists, control.HostsRead{Version: uint64(round) + 2, Hosts: hosts})
	}
	round := 0
	return measureMinMicros(func() {
		loop.Step(now, lists[round])
		round++
	}) / 1e3
}

// run steps the loop through virtual time. Replies arrive without delay, because
// latency costs no processor time.
func (p *fakePeers) run(loop *control.Loop[control.Snapshot], from, to time.Time) {
	for now := from; now.Before(to); now = loop.NextDeadline(now) {
		p.renewOtherLeases(loop, now)
		loop.Step(now, control.Tick{})
		for len(p.queue) > 0 {
			c := p.queue[0]
			p.queue = p.queue[1:]
			reply := p.answer(c)
			p.count(c, reply)
			loop.Step(now, control.PeerResponse{Peer: c.Peer, Message: c.Message, Reply: reply, Sent: now})
		}
	}
}
