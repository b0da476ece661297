package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/belief"
	"github.com/ragwortyard/ragwortyard/decide/crashcount"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/decide/teamrate"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

const drain = 2 * time.Second

// process is a control loop in virtual time with what it sent.
type process struct {
	t       *testing.T
	started time.Time
	woken   []Wake
	loop    *control.Loop[Snapshot]
	now     time.Time
	sent    []Send
}

// Send implements control.Outbound.
func (p *process) Send(cmd control.Command) bool {
	switch cmd := cmd.(type) {
	case Send:
		p.sent = append(p.sent, cmd)
	case Wake:
		p.woken = append(p.woken, cmd)
	}
	return true
}

func start(t *testing.T, host string) *process {
	p := &process{t: t, now: time.Now()}
	p.started = p.now
	p.loop = New(Options{
		Self:      Self{Host: host, Zone: "a", Service: "roster", Boot: 1, Started: p.now},
		KeyTrust:  4 * time.Second,
		Drain:     drain,
		Tolerance: teamrate.Tolerance{Window: 5 * time.Second, ExcessRatio: 0.25, SlackTokens: 20},
		Load:      func() pipeline.Load { return pipeline.Load{Slots: 7} },
		Boot:      func() time.Duration { return p.now.Sub(p.started) + time.Hour },
	}, p)
	return p
}

func (p *process) post(ev control.Event) { p.loop.Step(p.now, ev) }

// pass lets time pass with the ticks that the stages ask for.
func (p *process) pass(d time.Duration) {
	end := p.now.Add(d)
	for next := p.loop.NextDeadline(p.now); next.Before(end); next = p.loop.NextDeadline(p.now) {
		p.now = next
		p.post(control.Tick{})
	}
	p.now = end
	p.post(control.Tick{})
}

func server(id, host string, created uint64) Server {
	return Server{ID: id, Service: "roster", Zone: "a", Host: host, Addr: host + ":80", Slots: 7, Created: created}
}

func (p *process) listed(id string) bool {
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if target.ID == id {
			return true
		}
	}
	return false
}

// Guards against attempts at a server that ended without leaving while its entry
// is still listed beside that of its successor.
func TestLaterServerSupersedesTheEntryAtItsAddress(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("old", "10.0.0.2", 5), server("new", "10.0.0.2", 9)}})
	if p.listed("old") || !p.listed("new") {
		t.Errorf("old listed %v, new listed %v", p.listed("old"), p.listed("new"))
	}
	p.post(ServersRead{Gone: []string{"new"}})
	if !p.listed("old") {
		t.Error("the only entry at the address is not listed")
	}
}

// Guards against requests that reach a server later than the drain time after it
// was taken off the list.
func TestServerThatIsGoneIsDroppedWithinTheDrainTime(t *testing.T) {
	for name, outage := range map[string]time.Duration{"calm": 0, "short outage": 300 * time.Millisecond, "long outage": 5 * time.Second} {
		p := start(t, "10.0.0.1")
		p.post(ServersRead{Whole: true, Put: []Server{server("s", "10.0.0.2", 5)}})
		if outage > 0 {
			p.post(StoreLost{})
			p.pass(outage)
			p.post(StoreFound{})
		}
		p.post(ServersRead{Gone: []string{"s"}})
		if outage < lapseOutage && p.listed("s") {
			t.Errorf("%s: kept although its entry cannot have lapsed", name)
		}
		p.pass(drain - 300*time.Millisecond)
		if p.listed("s") {
			t.Errorf("%s: still listed near the end of the drain time", name)
		}
	}
}

// Guards against capacity that is lost because entries lapsed while the store
// was away.
func TestServerThatLapsedInAnOutageIsKeptUntilItIsBack(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("s", "10.0.0.2", 5)}})
	p.post(StoreLost{})
	p.pass(5 * time.Second)
	p.post(StoreFound{})
	p.post(ServersRead{Whole: true})
	p.pass(time.Second)
	if !p.listed("s") {
		t.Error("a server whose entry lapsed was dropped at once")
	}
	p.post(ServersRead{Put: []Server{server("s", "10.0.0.2", 9)}})
	p.pass(5 * time.Second)
	if !p.listed("s") {
		t.Error("a server that is back was dropped")
	}
}

// Guards against a process that hears nothing any more because its backend server
// left before it was stopped: it still serves the callers of its host.
func TestHostWithoutAServerIsToldWhileItIsHeard(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("mine", "10.0.0.1", 1), server("s", "10.0.0.2", 2), server("r", "10.0.0.3", 3)}})
	told := func() bool {
		p.sent = nil
		p.pass(statusInterval + time.Millisecond)
		for _, send := range p.sent {
			if send.Message.Status != nil && slices.Contains(send.Hosts, "10.0.0.2") {
				return true
			}
		}
		return false
	}
	p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 1}}})
	p.post(ServersRead{Gone: []string{"s"}})
	if !told() {
		t.Error("not told although it is heard")
	}
	p.pass(peerTimeout)
	if told() {
		t.Error("told after it fell silent")
	}
}

// Guards against a configuration that reverts.
func TestConfigurationNeverReverts(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(TableRead{table(t, 7)})
	p.post(TableRead{table(t, 6)})
	if got := p.loop.Snapshot().Table.Version(); got != 7 {
		t.Errorf("version %d", got)
	}
}

func table(t *testing.T, version uint64) *routing.Table {
	t.Helper()
	made, err := routing.NewTable(routing.Config{
		Version: version, RequireKeys: true,
		Teams: []routing.Team{{Name: "team", Keys: []string{"k"}, Rate: 5, Burst: 5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// Guards against keys that are trusted for longer than the platform's last
// confirmation allows, and against a confirmation that shortens the trust.
func TestKeysAreTrustedForALimitedTime(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(TableConfirmed{Boot: 100 * time.Second})
	p.post(TableConfirmed{Boot: 99 * time.Second})
	snap := p.loop.Snapshot()
	if !snap.KeysValid(103*time.Second) || snap.KeysValid(104*time.Second) {
		t.Errorf("keys are trusted until %v", snap.Trust.Until())
	}
}

// Guards against a failure that the other entries learn of late.
func TestFailureIsToldAtOnce(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("mine", "10.0.0.1", 1), server("s", "10.0.0.2", 2)}})
	p.pass(3 * time.Second)
	p.sent = nil
	p.post(Observed{Backend: "mine", Outcome: belief.Failed})
	p.pass(150 * time.Millisecond)
	for _, send := range p.sent {
		if s := send.Message.Status; s != nil && s.Backend == "mine" && s.Bad > 0.8 {
			return
		}
	}
	t.Errorf("not told within 150 ms: %+v", p.sent)
}

// Guards against an old status that arrives after a newer one.
func TestOldStatusIsIgnored(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("s", "10.0.0.2", 2)}})
	for _, s := range []notice.Status{
		{Boot: 4, Seq: 9, Backend: "s", Bad: 0.9},
		{Boot: 4, Seq: 8, Backend: "s", Bad: 0.1},
	} {
		p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &s}})
	}
	if bad := p.loop.Snapshot().Services["roster"][0].Live.Health().Bad; bad < 0.8 {
		t.Errorf("bad %.2f, want that of the newer status", bad)
	}
}

// want asks for a token and returns the verdict once the asks are over.
func (p *process) want(rate float64) TokenVerdict {
	p.t.Helper()
	reply := make(chan TokenVerdict, 1)
	p.post(TokenWanted{Team: &routing.Team{Name: "team", Rate: rate, Burst: rate}, Reply: reply})
	p.pass(askTimeout + time.Millisecond)
	select {
	case v := <-reply:
		return v
	default:
		p.t.Fatal("no verdict")
		return TokenVerdict{}
	}
}

// Guards against requests that are held when the owner of a team is lost, and
// against a process that exceeds its share then.
func TestTokensWithoutAnOwner(t *testing.T) {
	p := start(t, "10.0.0.1")
	servers := []Server{server("mine", "10.0.0.1", 1)}
	for _, host := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
		servers = append(servers, server("s"+host, host, 2))
	}
	p.post(ServersRead{Whole: true, Put: servers})
	granted := 0
	for range 20 {
		if v := p.want(10); v.Granted {
			granted++
		} else if v.Source != "alone" {
			t.Fatalf("decided by %s", v.Source)
		}
	}
	if granted < 2 || granted > 10 {
		t.Errorf("%d of 20 granted in 2.4 s, want about the share of one of four processes", granted)
	}
}

// Guards against a lost datagram that refuses a request: asks are repeated.
func TestAskIsRepeated(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("mine", "10.0.0.1", 1), server("s", "10.0.0.2", 2)}})
	p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 1}}})
	p.sent = nil
	reply := make(chan TokenVerdict, 1)
	p.post(TokenWanted{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: reply})
	p.pass(askRepeat + time.Millisecond)
	var asks []notice.TokenRequest
	for _, send := range p.sent {
		if send.Message.TokenRequest != nil {
			asks = append(asks, *send.Message.TokenRequest)
		}
	}
	if len(asks) != 2 || asks[0].ID != asks[1].ID {
		t.Fatalf("asks %+v", asks)
	}
	p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{TokenGrant: &notice.TokenGrant{ID: asks[0].ID, Count: 1}}})
	if v := <-reply; !v.Granted || v.Source != "owner" {
		t.Errorf("verdict %+v", v)
	}
}

// Guards against a crashing request that goes on crashing servers of other hosts.
func TestCrashesOfAllHostsBlockARequest(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(Crashed{ID: 1, InFlight: []crashcount.Fingerprint{7}})
	for id := uint64(2); id <= 3; id++ {
		p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{Crash: &notice.Crash{ID: id, InFlight: []uint64{7}}}})
	}
	if _, ok := p.loop.Snapshot().Blocked[7]; !ok {
		t.Error("not blocked after three crashes")
	}
}

// Guards against two owners of a team that both grant its rate: a process that
// does not hear the owner asks through one that does.
func TestAskGoesAroundACutPath(t *testing.T) {
	p := start(t, "10.0.0.1")
	hosts := []string{"10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}
	var servers []Server
	for i, host := range hosts {
		servers = append(servers, server(host, host, uint64(i+1)))
	}
	p.post(ServersRead{Whole: true, Put: servers})
	owner := ""
	hear := func(seq uint32, from []string, unheard ...string) {
		for _, host := range from {
			p.post(Received{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: seq, Unheard: unheard}}})
		}
	}
	hear(1, hosts)
	ask := func() Send {
		p.sent = nil
		p.post(TokenWanted{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: make(chan TokenVerdict, 1)})
		for _, send := range p.sent {
			if send.Message.TokenRequest != nil {
				return send
			}
		}
		return Send{Hosts: []string{""}}
	}
	owner = ask().Hosts[0]
	others := without(map[string]bool{hosts[0]: true, hosts[1]: true, hosts[2]: true, hosts[3]: true}, owner)
	var rest []string
	for host := range others {
		rest = append(rest, host)
	}
	p.pass(peerTimeout)
	hear(2, rest)
	if via := ask().Hosts[0]; via == owner || !others[via] {
		t.Errorf("ask sent to %q while only others hear the owner %q", via, owner)
	}
	hear(3, rest, owner)
	p.sent = nil
	if to := ask().Hosts[0]; to == owner {
		t.Error("ask sent to an owner that nobody hears")
	}
}

// Guards against refusals within the rate while the path to an owner is cut in one
// direction: its statuses arrive, asks do not.
func TestUnansweredAskGoesThroughAnotherProcess(t *testing.T) {
	p := start(t, "10.0.0.1")
	var servers []Server
	hosts := []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"}
	for i, host := range hosts {
		servers = append(servers, server(host, host, uint64(i+1)))
	}
	p.post(ServersRead{Whole: true, Put: servers})
	for _, host := range hosts {
		p.post(Received{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 1}}})
	}
	want := func() { // a token
		p.post(TokenWanted{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: make(chan TokenVerdict, 1)})
	}
	asked := func() []string {
		var to []string
		for _, send := range p.sent {
			if send.Message.TokenRequest != nil {
				to = append(to, send.Hosts[0])
			}
		}
		return to
	}
	p.sent = nil
	want()
	p.pass(askRepeat + time.Millisecond)
	to := asked()
	if len(to) != 2 || to[0] == to[1] {
		t.Fatalf("asks sent to %v, want the repeated one at another process", to)
	}
	owner := to[0]
	p.sent = nil
	want()
	if to := asked(); len(to) != 1 || to[0] == owner {
		t.Errorf("next ask sent to %v, want it at once around %s", to, owner)
	}
	p.pass(detourTime)
	p.sent = nil
	want()
	if to := asked(); len(to) != 1 || to[0] != owner {
		t.Errorf("ask after the detour sent to %v, want %s", to, owner)
	}
}

// Guards against an ask that ends at a process that is not the owner.
func TestAskIsPassedOnToTheOwner(t *testing.T) {
	p := start(t, "10.0.0.1")
	p.post(ServersRead{Whole: true, Put: []Server{server("s", "10.0.0.2", 2), server("r", "10.0.0.3", 3)}})
	for _, host := range []string{"10.0.0.2", "10.0.0.3"} {
		p.post(Received{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{Boot: 1, Seq: 1}}})
	}
	p.post(TableRead{table(t, 7)})
	p.sent = nil
	p.post(Received{Host: "10.0.0.3", Direct: true, Message: notice.Message{TokenRequest: &notice.TokenRequest{ID: 9, Name: "team", Count: 1}}})
	var passed *notice.TokenRequest
	for _, send := range p.sent {
		if send.Message.TokenRequest != nil {
			passed = send.Message.TokenRequest
		}
	}
	if passed == nil || !passed.Relayed {
		t.Fatalf("not passed on: %+v", p.sent)
	}
	p.sent = nil
	p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{TokenGrant: &notice.TokenGrant{ID: passed.ID, Count: 1}}})
	if len(p.sent) != 1 || p.sent[0].Hosts[0] != "10.0.0.3" || p.sent[0].Message.TokenGrant.ID != 9 {
		t.Errorf("the grant did not come back: %+v", p.sent)
	}
}

// fleet starts a process among hosts that it has not heard yet.
func fleet(t *testing.T, self string, hosts ...string) *process {
	p := start(t, self)
	servers := []Server{server("mine", self, 1)}
	for _, host := range hosts {
		servers = append(servers, server(host, host, 2))
	}
	p.post(TableRead{table(t, 7)})
	p.post(ServersRead{Whole: true, Put: servers})
	return p
}

// asks returns the asks of readers since the last call and their hosts.
func (p *process) asks() map[uint32]string {
	asks := make(map[uint32]string)
	for _, send := range p.sent {
		if send.Message.StoreQuery != nil {
			asks[send.Message.StoreQuery.ID] = send.Hosts[0]
		}
	}
	p.sent = nil
	return asks
}

// nextAsks lets time pass until the next ask of a reader.
func (p *process) nextAsks() map[uint32]string {
	p.asks()
	var asks map[uint32]string
	for len(asks) == 0 {
		p.pass(10 * time.Millisecond)
		asks = p.asks()
	}
	return asks
}

// notReader starts a process that leaves reading the store to others.
func notReader(t *testing.T) *process {
	t.Helper()
	for _, self := range []string{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4", "10.0.1.5"} {
		p := fleet(t, self, "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7", "10.0.0.8")
		p.pass(storeAskInterval + time.Millisecond)
		if !p.loop.Snapshot().Reading {
			return p
		}
	}
	t.Fatal("every process is a reader")
	return nil
}

// Guards against a list that stays old because the readers are cut from the
// store, or because their messages were lost.
func TestListIsReadWhenNoReaderAnswers(t *testing.T) {
	p := notReader(t)
	p.woken = nil
	p.pass(time.Second)
	for _, wake := range p.woken {
		if wake.Servers {
			return
		}
	}
	t.Errorf("the list was not read within a second without answers: %+v", p.woken)
}

// Guards against a difference that is noticed late.
func TestListIsReadWhenItDiffers(t *testing.T) {
	p := notReader(t)
	for id, host := range p.nextAsks() {
		p.woken = nil
		p.post(Received{Host: host, Direct: true, Message: notice.Message{StoreState: &notice.StoreState{ID: id, Version: 7}}})
		if len(p.woken) != 1 || !p.woken[0].Servers {
			t.Fatalf("woken %+v", p.woken)
		}
	}
}

// Guards against a key that is trusted for longer because the answer of a reader
// was late: it counts from the ask.
func TestConfirmationCountsFromTheAsk(t *testing.T) {
	p := notReader(t)
	before := p.loop.Snapshot().Trust.Until()
	asks := p.nextAsks()
	boot := p.now.Sub(p.started) + time.Hour
	for id, host := range asks {
		p.now = p.now.Add(60 * time.Millisecond)
		p.post(Received{Host: host, Direct: true, Message: notice.Message{StoreState: &notice.StoreState{ID: id, Version: 7, AgeMS: 500}}})
	}
	until := p.loop.Snapshot().Trust.Until()
	if latest := boot - 500*time.Millisecond + 4*time.Second; until <= before || until > latest {
		t.Errorf("trusted until %v, want after %v and at most %v", until, before, latest)
	}
}

// Guards against a reader that answers for a list that it can no longer read.
func TestReaderThatIsCutFallsSilent(t *testing.T) {
	p := fleet(t, "10.0.0.1", "10.0.0.2")
	p.pass(time.Millisecond)
	p.post(TableConfirmed{Boot: p.now.Sub(p.started) + time.Hour})
	answers := func() int {
		p.sent = nil
		p.post(Received{Host: "10.0.0.2", Direct: true, Message: notice.Message{StoreQuery: &notice.StoreQuery{ID: 1}}})
		n := 0
		for _, send := range p.sent {
			if send.Message.StoreState != nil {
				n++
			}
		}
		return n
	}
	if answers() != 1 {
		t.Fatal("a reader does not answer")
	}
	p.pass(freshList + time.Millisecond)
	if answers() != 0 {
		t.Error("a reader answers for a list that it read long ago")
	}
}
