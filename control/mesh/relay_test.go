package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// zoned starts a process in zone "a" among n hosts of each of three zones, all of
// which were heard directly.
func zoned(t *testing.T, n int) *process {
	p := start(t, "10.1.0.1")
	servers := []Server{server("mine", "10.1.0.1", 1)}
	for i, zone := range []string{"a", "b", "c"} {
		for j := range n {
			s := server(fmt.Sprintf("%s%d", zone, j), fmt.Sprintf("10.%d.0.%d", i+1, j+2), 2)
			s.Zone = zone
			servers = append(servers, s)
		}
	}
	p.post(TableRead{table(t, 7)})
	p.post(ServersRead{Whole: true, Put: servers})
	p.hearAll(1)
	return p
}

// hearAll takes a status of each peer.
func (p *process) hearAll(seq uint32) {
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if !target.Local {
			p.post(Received{Host: target.Host, Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: seq}}})
		}
	}
}

// Guards against bytes between availability zones that grow with the hosts: each
// status would go to all of them.
func TestStatusCrossesToAZoneOnce(t *testing.T) {
	p := zoned(t, 8)
	p.pass(100 * time.Millisecond)
	p.sent = nil
	p.post(Observed{Backend: "mine", Outcome: belief.Failed})
	p.pass(50 * time.Millisecond)
	told := map[string]int{}
	for _, send := range p.sent {
		if send.Message.Status == nil {
			continue
		}
		for _, host := range send.Hosts {
			told[host[:4]]++
			if passOn := host[:4] != "10.1"; send.Message.ForwardToZone != passOn {
				t.Errorf("status to %s with PassOn %v", host, send.Message.ForwardToZone)
			}
		}
	}
	if told["10.1"] != 8 || told["10.2"] != urgentCopies || told["10.3"] != urgentCopies {
		t.Errorf("told %v", told)
	}
}

// Guards against a zone that is told nothing because its relay is lost.
func TestRelaysTakeTurnsAndAreLive(t *testing.T) {
	p := zoned(t, 4)
	relays := map[string]bool{}
	for seq := range uint32(12) { // 10.2.0.2 and zone c are silent
		p.pass(statusInterval)
		for _, host := range []string{"10.2.0.3", "10.2.0.4", "10.2.0.5"} {
			p.post(Received{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: seq + 2}}})
		}
		if seq == 4 {
			p.sent = nil
		}
	}
	for _, send := range p.sent {
		for _, host := range send.Hosts {
			switch {
			case send.Message.Status == nil:
			case host[:4] == "10.2":
				relays[host] = true
			case host[:4] == "10.3" && send.Message.ForwardToZone:
				t.Errorf("silent %s is asked to pass on", host)
			}
		}
	}
	if len(relays) != 3 || relays["10.2.0.2"] {
		t.Errorf("relays in the zone with one silent host: %v", relays)
	}
}

// Guards against a message that ends at the relay, or that goes round.
func TestRelayPassesOnWithinItsZone(t *testing.T) {
	p := zoned(t, 3)
	p.sent = nil
	p.post(Received{Host: "10.2.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 9}, ForwardToZone: true}})
	var passed []Send
	for _, send := range p.sent {
		if send.Message.Origin == "10.2.0.2" {
			passed = append(passed, send)
		}
	}
	want := []string{"10.1.0.2", "10.1.0.3", "10.1.0.4"}
	if len(passed) != 1 || !slices.Equal(passed[0].Hosts, want) || passed[0].Message.ForwardToZone || passed[0].Message.Status.Seq != 9 {
		t.Errorf("passed on %+v", passed)
	}
}

// Guards against a path that is taken for whole because the statuses of the host
// come through relays.
func TestPassedOnStatusSaysNothingOfThePath(t *testing.T) {
	p := zoned(t, 3)
	for seq := range uint32(3) {
		p.pass(time.Second)
		p.post(Received{Host: "10.2.0.2", Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: seq + 2, Backend: "b0", Bad: 0.9}}})
	}
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if target.Host == "10.2.0.2" && (target.Live.HeardWithin(p.now, p.loop.Snapshot().Silence) || target.Live.Health().Bad < 0.8) {
			t.Errorf("heard directly %v, bad %.2f", target.Live.HeardWithin(p.now, p.loop.Snapshot().Silence), target.Live.Health().Bad)
		}
	}
}

// Guards against attempts at a process that takes none any more, and against
// leaving its server out as soon as it begins to stop.
func TestStepsOfAStopAreTold(t *testing.T) {
	p := zoned(t, 3)
	last := func() (s notice.Status) {
		p.pass(50 * time.Millisecond)
		for _, send := range p.sent {
			if send.Message.Status != nil {
				s = *send.Message.Status
			}
		}
		p.sent = nil
		return s
	}
	p.post(Stop{})
	if s := last(); !s.Stopping || s.Closed {
		t.Errorf("told at the begin of a stop: %+v", s)
	}
	p.post(Close{})
	if s := last(); !s.Stopping || !s.Closed {
		t.Errorf("told when attempts are refused: %+v", s)
	}
	p.post(Received{Host: "10.2.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 9, Backend: "b0", Stopping: true, Closed: true}}})
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if target.ID == "b0" && !target.Live.Health().Closed {
			t.Error("a closed process is taken for open")
		}
	}
}
