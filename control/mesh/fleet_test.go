package mesh

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// fleetTolerance is the tolerance of the deployments.
var fleetTolerance = teamrate.Tolerance{Window: 5 * time.Second, ExcessRatio: 0.25, SlackTokens: 20}

// testFleet runs the control loops of a fleet in virtual time. Datagrams arrive after a
// short delay, and hosts can be killed, started and cut off from each other.
type testFleet struct {
	random    *rand.Rand
	now       time.Time
	team      routing.Team
	table     *routing.Table
	hosts     []string
	zones     map[string]string // by host
	processes map[string]*fleetProcess
	cut       map[string]bool // hosts that exchange no datagrams with hosts that are not cut
	agenda    agenda
	seq       int
	boots     uint32
	granted   []time.Time     // tokens granted to requests of the team
	owners    map[string]bool // hosts that acquired the ownership of the team's tokens
	refused   int

	firstStart   bool            // the whole fleet starts for the first time
	storeTable   *routing.Table  // in the store, if processes read it; nil if reads get no answer
	storeServers []Server        // in the store, if processes read it; nil if reads get no answer
	storeEra     uint64          // of all answers of the store
	storeRev     uint64          // revision of the store
	storeDown    bool            // the store answers nobody
	evacuations  bool            // availability zones may be evacuated
	storeZones   []string        // evacuated in the store
	deaf         map[string]bool // hosts that receive no datagrams
	lossShare    float64         // of the datagrams that are lost
	tableReads   int             // reads of storeTable
	listReads    int             // reads of storeServers without Stale
	staleReads   int             // reads of storeServers with Stale
	fetches      int             // fetches from peers
}

// fleetProcess is a running process of a testFleet.
type fleetProcess struct {
	fleet   *testFleet
	host    string
	loop    *control.Loop[Snapshot]
	started time.Time
	wakeAt  time.Time // time of the tick on the agenda
	failing bool      // its last reads of the store failed
	replies []chan TokenDecision
}

// agendaItem is an action at a point in time; seq orders actions at the same time.
type agendaItem struct {
	at  time.Time
	seq int
	run func()
}

type agenda []agendaItem

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || (a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(agendaItem)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newTestFleet(seed uint64, hosts int, rate, burst float64) *testFleet {
	f := &testFleet{
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       time.Now(),
		team:      routing.Team{Name: "team", Keys: []string{"k"}, Rate: rate, Burst: burst},
		zones:     make(map[string]string),
		processes: make(map[string]*fleetProcess),
		cut:       make(map[string]bool),
		owners:    make(map[string]bool),
		deaf:      make(map[string]bool),
	}
	for i := range hosts {
		host := fmt.Sprintf("10.%d.0.%d", i%3+1, i/3+1)
		f.hosts = append(f.hosts, host)
		f.zones[host] = string(rune('a' + i%3))
	}
	table, err := routing.NewTable(routing.Config{Version: 1, RequireKeys: true, Teams: []routing.Team{f.team}})
	if err != nil {
		panic(err)
	}
	f.table = table
	return f
}

func (f *testFleet) at(at time.Time, run func()) {
	f.seq++
	heap.Push(&f.agenda, agendaItem{at: at, seq: f.seq, run: run})
}

func (f *testFleet) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }

// between returns a random duration in a range.
func (f *testFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)+1))
}

// advance runs the fleet for a duration.
func (f *testFleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.agenda) > 0 && !f.agenda[0].at.After(end) {
		item := heap.Pop(&f.agenda).(agendaItem)
		f.now = item.at
		item.run()
	}
	f.now = end
}

// start starts a process that reads the store after a delay.
func (f *testFleet) start(host string, readDelay time.Duration) {
	f.boots++
	p := &fleetProcess{fleet: f, host: host, started: f.now}
	p.loop = New(Options{
		Identity:          Identity{Host: host, Zone: f.zones[host], Service: "roster", BootID: f.boots, StartedAt: f.now},
		FirstStart:        f.firstStart,
		FollowEvacuations: f.evacuations,
		KeyTrustDuration:  4 * time.Second,
		DrainTime:         drainTime,
		Tolerance:         fleetTolerance,
		SharedRetries:     SharedRetries{Window: retryWindow, MaxPerWindow: 40},
		Load:              func() pipeline.Load { return pipeline.Load{Slots: 7} },
		BootClock:         p.bootClock,
	}, p)
	f.processes[host] = p
	p.post(control.Tick{})
	if f.storeServers != nil {
		return // it reads what it needs
	}
	f.after(readDelay, func() {
		p.post(TableRead{Table: f.table})
		p.post(ServerListRead{Complete: true, Put: f.serversOf(f.hosts)})
	})
}

// bootClock returns the time since boot. It stands still unless processes read the store.
func (p *fleetProcess) bootClock() time.Duration {
	if p.fleet.storeServers == nil {
		return time.Hour
	}
	return time.Hour + p.fleet.now.Sub(p.started)
}

// serversOf returns the entries of the servers on all hosts.
func (f *testFleet) serversOf(hosts []string) []Server {
	servers := []Server{}
	for i, listed := range hosts {
		servers = append(servers, Server{ID: "s" + listed, Service: "roster", Zone: f.zones[listed], Host: listed, Addr: listed + ":80", Slots: 7, CreateRevision: uint64(i + 1)})
	}
	return servers
}

// kill ends the process of a host without notice.
func (f *testFleet) kill(host string) { delete(f.processes, host) }

// startAll starts all hosts within spread.
func (f *testFleet) startAll(spread, maxReadDelay time.Duration) {
	for _, host := range f.hosts {
		f.after(f.between(0, spread), func() { f.start(host, f.between(5*time.Millisecond, maxReadDelay)) })
	}
}

// generate sends requests of the team from random hosts at a rate, for a duration.
func (f *testFleet) generate(perSecond float64, d time.Duration) {
	end := f.now.Add(d)
	var next func()
	next = func() {
		if p := f.processes[f.hosts[f.random.IntN(len(f.hosts))]]; p != nil && p.loop.Snapshot().Table != nil {
			reply := make(chan TokenDecision, 1)
			p.replies = append(p.replies, reply)
			p.post(TokenRequest{Team: &f.team, Reply: reply})
		}
		if gap := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)); f.now.Add(gap).Before(end) {
			f.after(gap, next)
		}
	}
	next()
}

// post handles an event if the process still runs, and schedules the next tick.
func (p *fleetProcess) post(ev control.Event) {
	f := p.fleet
	if f.processes[p.host] != p {
		return
	}
	p.loop.Step(f.now, ev)
	p.replies = slices.DeleteFunc(p.replies, func(reply chan TokenDecision) bool {
		select {
		case decision := <-reply:
			if decision.Granted {
				f.granted = append(f.granted, f.now)
			} else {
				f.refused++
			}
			return true
		default:
			return false
		}
	})
	if next := p.loop.NextDeadline(f.now); p.wakeAt.IsZero() || next.Before(p.wakeAt) {
		p.wakeAt = next
		f.at(next, func() {
			if p.wakeAt.Equal(next) {
				p.wakeAt = time.Time{}
				p.post(control.Tick{})
			}
		})
	}
}

// Send implements control.Outbound: it delivers datagrams and records owners of tokens.
func (p *fleetProcess) Send(cmd control.Command) bool {
	if entry, ok := cmd.(LogEntry); ok && entry.Message == "team token ownership acquired" {
		p.fleet.owners[p.host] = true
	}
	f := p.fleet
	switch cmd := cmd.(type) {
	case ReadStore:
		f.answerRead(p, cmd)
	case FetchConfig:
		f.answerConfigFetch(p, cmd)
	case FetchServers:
		f.answerServersFetch(p, cmd)
	}
	send, ok := cmd.(SendMessage)
	if !ok {
		return true
	}
	received := MessageReceived{Host: p.host, Direct: true, Message: send.Message}
	if send.Message.Origin != "" {
		received.Host, received.Direct = send.Message.Origin, false
	}
	for _, host := range send.Hosts {
		if f.cut[p.host] != f.cut[host] || f.deaf[host] || (f.lossShare > 0 && f.random.Float64() < f.lossShare) {
			continue
		}
		f.after(f.between(500*time.Microsecond, 2*time.Millisecond), func() {
			if to := f.processes[host]; to != nil {
				to.post(received)
			}
		})
	}
	return true
}

// followStore lets the readers follow the store: they get its content at intervals.
func (f *testFleet) followStore() {
	const interval = 400 * time.Millisecond
	for _, host := range f.hosts {
		p := f.processes[host]
		if p == nil || !p.loop.Snapshot().StoreReader || f.cut[host] {
			continue
		}
		if f.storeDown {
			p.storeRefused()
			continue
		}
		f.postEvacuations(p)
		p.storeAnswered(f.readServers())
		if f.storeTable != nil {
			p.post(TableRead{Table: f.storeTable})
			p.post(TableConfirmed{BootTime: p.bootClock(), Era: f.storeEra})
		}
	}
	f.after(interval, f.followStore)
}

// readServers returns the list that the store holds.
func (f *testFleet) readServers() ServerListRead {
	read := ServerListRead{Complete: true, Era: f.storeEra, Revision: f.storeRev}
	for _, server := range f.storeServers {
		server.Era = f.storeEra
		read.Put = append(read.Put, server)
	}
	return read
}

// postEvacuations posts the evacuated zones in the store to a process.
func (f *testFleet) postEvacuations(p *fleetProcess) {
	if f.evacuations {
		p.post(EvacuationsRead{Position: StorePosition{Era: f.storeEra, Revision: f.storeRev}, Zones: f.storeZones})
	}
}

// evacuate changes the evacuated zones in the store, which told readers learn by their
// watch.
func (f *testFleet) evacuate(told int, zones ...string) {
	f.storeRev++
	f.storeZones = zones
	for _, host := range f.readers() {
		if p := f.processes[host]; told > 0 && !f.cut[host] {
			told--
			f.after(f.between(time.Millisecond, 20*time.Millisecond), func() { f.postEvacuations(p) })
		}
	}
}

// readers returns the hosts that are store readers.
func (f *testFleet) readers() []string {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(host string) bool {
		return f.processes[host] == nil || !f.processes[host].loop.Snapshot().StoreReader
	})
}

// storeRefused reports to a process that its reads of the store have failed.
func (p *fleetProcess) storeRefused() {
	p.failing = true
	p.post(StoreUnavailable{})
}

// storeAnswered posts a list that a process read from the store.
func (p *fleetProcess) storeAnswered(list ServerListRead) {
	p.post(list)
	if p.failing {
		p.failing = false
		p.post(StoreAvailable{})
	}
}

// answerRead answers a read of the store with what it holds at that time. While the store is
// away, the reads fail.
func (f *testFleet) answerRead(p *fleetProcess, read ReadStore) {
	delay := f.between(4*time.Millisecond, 60*time.Millisecond)
	if f.storeDown {
		if read.Servers {
			f.after(4*delay, func() {
				if f.storeDown {
					p.storeRefused()
				} else {
					f.answerRead(p, read)
				}
			})
		}
		return
	}
	if read.Config {
		f.after(delay, func() { f.postEvacuations(p) })
	}
	if read.Config && f.storeTable != nil {
		f.tableReads++
		table, era := f.storeTable, f.storeEra
		f.after(delay, func() {
			p.post(TableRead{Table: table})
			p.post(TableConfirmed{BootTime: p.bootClock() - delay, Era: era})
		})
	}
	if !read.Servers || f.storeServers == nil {
		return
	}
	list := f.readServers()
	if read.Stale {
		f.staleReads++
		list.Source = FromStaleStore
	} else {
		f.listReads++
	}
	f.after(delay, func() { p.storeAnswered(list) })
}

// answerConfigFetch answers a fetch from a peer with the configuration that the peer
// holds.
func (f *testFleet) answerConfigFetch(p *fleetProcess, fetch FetchConfig) {
	f.fetches++
	f.after(f.between(2*time.Millisecond, 100*time.Millisecond), func() {
		source := f.peerOf(p, fetch.Host)
		if source == nil || source.Table == nil || source.Table.Version() < fetch.Version {
			p.post(ConfigNotFetched{Version: fetch.Version})
			return
		}
		p.post(TableRead{Table: source.Table})
	})
}

// answerServersFetch answers a fetch from a peer with the list that the peer holds.
func (f *testFleet) answerServersFetch(p *fleetProcess, fetch FetchServers) {
	f.fetches++
	f.after(f.between(2*time.Millisecond, 100*time.Millisecond), func() {
		reader := f.peerOf(p, fetch.Host)
		if reader == nil || !reader.StoreReader || !reader.ListComplete {
			p.post(ServersNotFetched{})
			return
		}
		data, err := EncodeServerList(f.now, reader)
		if err != nil {
			panic(err)
		}
		list, err := DecodeServerList(data)
		if err != nil {
			panic(err)
		}
		list.Host = fetch.Host
		p.post(list)
	})
}

// peerOf returns the snapshot of a peer, or nil if the process does not reach it.
func (f *testFleet) peerOf(p *fleetProcess, host string) *Snapshot {
	if f.processes[host] == nil || f.cut[host] != f.cut[p.host] {
		return nil
	}
	return f.processes[host].loop.Snapshot()
}

// mostGranted returns the highest number of tokens granted within any window of the
// tolerance.
func (f *testFleet) mostGranted() int {
	most, first := 0, 0
	for i, at := range f.granted {
		for at.Sub(f.granted[first]) >= fleetTolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// permitted returns the limit that mostGranted must not exceed.
func (f *testFleet) permitted() float64 {
	return teamrate.Limit{Rate: f.team.Rate, Burst: f.team.Burst, Tolerance: fleetTolerance}.MaxPermitted()
}
