package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/room"
)

// zonePlay plays the requests of three zones with four servers each, of five slots and 400 ms
// a request: 150 requests per second in all. Entry proxies know loads that are up to 200 ms
// old.
type zonePlay struct {
	random  *rand.Rand
	now     time.Time
	servers []playedServer
	known   []Candidate
	zones   [3]room.Zone
	sent    [3][3]int // requests by zone of the caller and of the server
	waits   []time.Duration
	failed  int
}

type playedServer struct {
	ends    []time.Time // of the requests that were sent, in order of their starts
	failing bool
}

const (
	playedSlots   = 5
	playedService = 400 * time.Millisecond
	playedStep    = 10 * time.Millisecond
)

func newZonePlay(seed uint64) *zonePlay {
	return &zonePlay{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0),
		servers: make([]playedServer, 12), known: make([]Candidate, 12),
	}
}

// run plays the demand of each zone in requests per second, as a function of the time.
func (p *zonePlay) run(length time.Duration, demand func(zone int, at time.Duration) float64) {
	for at := time.Duration(0); at < length; at += playedStep {
		p.now = p.now.Add(playedStep)
		if at%(200*time.Millisecond) == 0 {
			p.report()
		}
		for zone := range 3 {
			for expected := demand(zone, at) * playedStep.Seconds(); expected > 0; expected-- {
				if p.random.Float64() < expected {
					p.send(zone)
				}
			}
		}
	}
}

// report tells the entry proxies the load of each server.
func (p *zonePlay) report() {
	var uses [3]room.Use
	for i := range p.servers {
		s := &p.servers[i]
		for len(s.ends) > 0 && s.ends[0].Before(p.now) {
			s.ends = s.ends[1:]
		}
		c := Candidate{GrayFailureProbability: 0.02, Slots: playedSlots, MeanServiceTime: playedService}
		c.Running, c.QueuedAhead = min(len(s.ends), playedSlots), max(len(s.ends)-playedSlots, 0)
		if s.failing {
			c.GrayFailureProbability = 0.9
		}
		p.known[i] = c
		uses[i/4].Add(room.Server{Slots: c.Slots, Running: c.Running, Waiting: c.QueuedAhead, GrayFailureProbability: c.GrayFailureProbability})
	}
	for zone := range uses {
		p.zones[zone] = p.zones[zone].Update(p.now, uses[zone])
	}
}

func (p *zonePlay) send(zone int) {
	candidates := append([]Candidate(nil), p.known...)
	for i := range candidates {
		candidates[i].SameZone = i/4 == zone
		if i/4 != zone {
			candidates[i].LeaveCost = room.LeaveCost(p.zones[zone].Utilization, p.zones[i/4].Utilization, 2000)
		}
	}
	i := Choose(Request{TargetLatency: 1500 * time.Millisecond, TimeLeft: 4 * time.Second}, candidates, p.random)
	p.sent[zone][i/4]++
	p.known[i].Running++ // its own entry proxy knows of it
	s := &p.servers[i]
	if s.failing {
		p.failed++
		return
	}
	start := p.now
	if n := len(s.ends); n >= playedSlots && s.ends[n-playedSlots].After(start) {
		start = s.ends[n-playedSlots]
	}
	p.waits = append(p.waits, start.Sub(p.now))
	s.ends = append(s.ends, start.Add(playedService))
}

// leaving returns the share of the requests of a zone that left it.
func (p *zonePlay) leaving(zone int) float64 {
	total := p.sent[zone][0] + p.sent[zone][1] + p.sent[zone][2]
	return 1 - float64(p.sent[zone][zone])/float64(total)
}

// late returns the share of the requests that waited for longer than half a second.
func (p *zonePlay) late() float64 {
	n := 0
	for _, wait := range p.waits {
		if wait > 500*time.Millisecond {
			n++
		}
	}
	return float64(n) / float64(max(len(p.waits), 1))
}

// Guards against requests that leave a zone whose own servers have room.
func TestRequestsStayInAZoneWithRoom(t *testing.T) {
	p := newZonePlay(1)
	p.run(20*time.Second, func(int, time.Duration) float64 { return 25 })
	for zone := range 3 {
		if share := p.leaving(zone); share > 0.02 {
			t.Errorf("%.3f of the requests leave zone %d, which has room", share, zone)
		}
	}
}

// Guards against a zone that keeps three times its usual demand while the others have room,
// and against the others sending theirs into it.
func TestTripleDemandLeavesItsZone(t *testing.T) {
	p := newZonePlay(2)
	p.run(20*time.Second, func(zone int, _ time.Duration) float64 { return []float64{75, 25, 25}[zone] })
	if share := p.leaving(0); share < 0.3 || share > 0.55 {
		t.Errorf("%.2f of the requests leave a zone that can serve two thirds of them", share)
	}
	if back := p.leaving(1) + p.leaving(2); back > 0.06 {
		t.Errorf("%.3f of the requests of the other zones leave them", back/2)
	}
	if late := p.late(); late > 0.02 {
		t.Errorf("%.3f of the requests wait for more than half a second although there is room for all", late)
	}
}

// Guards against zones that send their requests to each other by turns when the demand
// moves between them.
func TestDemandInWavesLeavesTheFullZoneOnly(t *testing.T) {
	p := newZonePlay(3)
	p.run(60*time.Second, func(zone int, at time.Duration) float64 {
		phase := (at.Seconds()/9 + float64(zone)/3)
		phase -= float64(int(phase))
		return 35 * (1 + 0.55*(4*max(phase, 1-phase)-3))
	})
	leaving := (p.leaving(0) + p.leaving(1) + p.leaving(2)) / 3
	if leaving > 0.25 {
		t.Errorf("%.2f of the requests leave their zone, where a tenth would do", leaving)
	}
	if late := p.late(); late > 0.02 {
		t.Errorf("%.3f of the requests wait for more than half a second", late)
	}
}

// Guards against a zone whose servers all fail keeping its requests.
func TestRequestsLeaveAZoneWhoseServersFail(t *testing.T) {
	p := newZonePlay(4)
	for i := range 4 {
		p.servers[i].failing = true
	}
	p.run(10*time.Second, func(int, time.Duration) float64 { return 25 })
	if share := p.leaving(0); share < 0.98 || p.failed > 10 {
		t.Errorf("%.2f of the requests leave a zone whose servers fail; %d failed", share, p.failed)
	}
}

// Guards against requests with large responses that stay at a failing server of their zone.
func TestLargeResponsesLeaveAFailingServer(t *testing.T) {
	for _, bytes := range []int{2000, 40_000, 4 << 20} {
		candidates := []Candidate{
			{GrayFailureProbability: 0.9, Slots: 5, SameZone: true},
			{GrayFailureProbability: 0.02, Slots: 5, LeaveCost: room.LeaveCost(0, 0, bytes)},
		}
		if Choose(Request{TargetLatency: time.Second, TimeLeft: 4 * time.Second}, candidates, newRand()) != 1 {
			t.Errorf("a request with %d bytes stays", bytes)
		}
	}
}
