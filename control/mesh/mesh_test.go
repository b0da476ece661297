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

const (
	drainTime   = 2 * time.Second
	retryWindow = 10 * time.Second
)

// testProcess is a control loop in virtual time that records the commands it emits.
type testProcess struct {
	t          *testing.T
	started    time.Time
	storeReads []ReadStore
	fetches    []FetchConfig
	listHosts  []string // of FetchServers
	loop       *control.Loop[Snapshot]
	now        time.Time
	sent       []SendMessage
	load       func() pipeline.Load // an idle server if nil
}

// Send implements control.Outbound.
func (p *testProcess) Send(cmd control.Command) bool {
	switch cmd := cmd.(type) {
	case SendMessage:
		p.sent = append(p.sent, cmd)
	case ReadStore:
		p.storeReads = append(p.storeReads, cmd)
	case FetchConfig:
		p.fetches = append(p.fetches, cmd)
	case FetchServers:
		p.listHosts = append(p.listHosts, cmd.Host)
	}
	return true
}

func startProcess(t *testing.T, host string, changes ...func(*Options)) *testProcess {
	p := &testProcess{t: t, now: time.Now()}
	p.started = p.now
	options := Options{
		Identity:         Identity{Host: host, Zone: "a", Service: "roster", BootID: 1, StartedAt: p.now},
		KeyTrustDuration: 4 * time.Second,
		DrainTime:        drainTime,
		Tolerance:        teamrate.Tolerance{Window: 5 * time.Second, ExcessRatio: 0.25, SlackTokens: 20},
		SharedRetries:    SharedRetries{Window: retryWindow, MaxPerWindow: 40},
		Load: func() pipeline.Load {
			if p.load != nil {
				return p.load()
			}
			return pipeline.Load{Slots: 7}
		},
		BootClock: func() time.Duration { return p.now.Sub(p.started) + time.Hour },
	}
	for _, change := range changes {
		change(&options)
	}
	p.loop = New(options, p)
	return p
}

func (p *testProcess) post(ev control.Event) { p.loop.Step(p.now, ev) }

// advance moves the time forward and posts a tick at each deadline of the stages.
func (p *testProcess) advance(d time.Duration) {
	end := p.now.Add(d)
	for next := p.loop.NextDeadline(p.now); next.Before(end); next = p.loop.NextDeadline(p.now) {
		p.now = next
		p.post(control.Tick{})
	}
	p.now = end
	p.post(control.Tick{})
}

func newServer(id, host string, created uint64) Server {
	return Server{ID: id, Service: "roster", Zone: "a", Host: host, Addr: host + ":80", Slots: 7, CreateRevision: created}
}

func (p *testProcess) isListed(id string) bool {
	for _, target := range p.loop.Snapshot().Services["roster"] {
		if target.ID == id {
			return true
		}
	}
	return false
}

// Guards against attempts at a crashed server whose entry is still listed beside that
// of its successor at the same address.
func TestNewerServerSupersedesTheEntryAtItsAddress(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("old", "10.0.0.2", 5), newServer("new", "10.0.0.2", 9)}})
	if p.isListed("old") || !p.isListed("new") {
		t.Errorf("old listed %v, new listed %v", p.isListed("old"), p.isListed("new"))
	}
	p.post(ServerListRead{Removed: []string{"new"}})
	if !p.isListed("old") {
		t.Error("the only entry at the address is not listed")
	}
}

// Guards against requests to a server later than the drain time after its removal
// from the list, also when the store was unavailable before.
func TestRemovedServerIsDroppedWithinTheDrainTime(t *testing.T) {
	for name, outage := range map[string]time.Duration{"no outage": 0, "short outage": 300 * time.Millisecond, "long outage": 5 * time.Second} {
		p := startProcess(t, "10.0.0.1")
		p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 5)}})
		if outage > 0 {
			p.post(StoreUnavailable{})
			p.advance(outage)
			p.post(StoreAvailable{})
		}
		p.post(ServerListRead{Removed: []string{"s"}})
		if outage < minExpiryOutage && p.isListed("s") {
			t.Errorf("%s: kept although its entry cannot have expired", name)
		}
		p.advance(drainTime - 300*time.Millisecond)
		if p.isListed("s") {
			t.Errorf("%s: still listed near the end of the drain time", name)
		}
	}
}

// Guards against a loss of capacity after a store outage in which the entries of
// running servers expired.
func TestServerWithExpiredEntryIsKeptUntilItRegistersAgain(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 5)}})
	p.post(StoreUnavailable{})
	p.advance(5 * time.Second)
	p.post(StoreAvailable{})
	p.post(ServerListRead{Complete: true})
	p.advance(time.Second)
	if !p.isListed("s") {
		t.Error("a server whose entry expired was removed at once")
	}
	p.post(ServerListRead{Put: []Server{newServer("s", "10.0.0.2", 9)}})
	p.advance(5 * time.Second)
	if !p.isListed("s") {
		t.Error("a server that registered again was removed")
	}
}

// Guards against a process that gets no more broadcasts because its backend server was
// removed before the process stopped: it still serves the callers of its host.
func TestHostWithoutServerStaysAPeerWhileHeard(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2), newServer("r", "10.0.0.3", 3)}})
	statusSent := func() bool {
		p.sent = nil
		p.advance(statusInterval + time.Millisecond)
		for _, send := range p.sent {
			if send.Message.Status != nil && slices.Contains(send.Hosts, "10.0.0.2") {
				return true
			}
		}
		return false
	}
	p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: 1}}})
	p.post(ServerListRead{Removed: []string{"s"}})
	if !statusSent() {
		t.Error("no status sent to a host that is heard")
	}
	p.advance(peerTimeout)
	if statusSent() {
		t.Error("status sent to a host that is not heard any more")
	}
}

// Guards against an older configuration that replaces a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(TableRead{Table: newTable(t, 7)})
	p.post(TableRead{Table: newTable(t, 6)})
	if got := p.loop.Snapshot().Table.Version(); got != 7 {
		t.Errorf("version %d", got)
	}
}

func newTable(t *testing.T, version uint64) *routing.Table {
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

// Guards against keys that are trusted for longer than KeyTrustDuration after the last
// confirmation, and against an older confirmation that shortens the trust.
func TestKeysAreTrustedForALimitedTime(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(TableConfirmed{BootTime: 100 * time.Second})
	p.post(TableConfirmed{BootTime: 99 * time.Second})
	snap := p.loop.Snapshot()
	if !snap.KeysValid(103*time.Second) || snap.KeysValid(104*time.Second) {
		t.Errorf("keys are trusted until %v", snap.KeyTrust.Until())
	}
}

// Guards against a failure that peers learn of late: they would go on sending requests
// to the server.
func TestFailureIsBroadcastAtOnce(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2)}})
	p.advance(3 * time.Second)
	p.sent = nil
	p.post(OutcomeObserved{Backend: "mine", Outcome: belief.Failed})
	p.advance(150 * time.Millisecond)
	for _, send := range p.sent {
		if s := send.Message.Status; s != nil && s.Backend == "mine" && s.BadProbability > 0.8 {
			return
		}
	}
	t.Errorf("no status with the failure within 150 ms: %+v", p.sent)
}

// Guards against a status that overwrites a newer one because datagrams were
// reordered.
func TestOldStatusIsIgnored(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 2)}})
	for _, s := range []notice.Status{
		{BootID: 4, Seq: 9, Backend: "s", BadProbability: 0.9},
		{BootID: 4, Seq: 8, Backend: "s", BadProbability: 0.1},
	} {
		p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &s}})
	}
	if bad := p.loop.Snapshot().Services["roster"][0].Live.Health().BadProbability; bad < 0.8 {
		t.Errorf("gray failure probability %.2f, want that of the newer status", bad)
	}
}

// requestToken requests a token and returns the decision after the request timeout.
func (p *testProcess) requestToken(rate float64) TokenDecision {
	p.t.Helper()
	reply := make(chan TokenDecision, 1)
	p.post(TokenRequest{Team: &routing.Team{Name: "team", Rate: rate, Burst: rate}, Reply: reply})
	p.advance(tokenRequestTimeout + time.Millisecond)
	select {
	case v := <-reply:
		return v
	default:
		p.t.Fatal("no decision")
		return TokenDecision{}
	}
}

// Guards against requests that are delayed while the owner of a team is lost, and
// against a process that then exceeds its share of the rate.
func TestTeamTokensWithoutAnOwner(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	servers := []Server{newServer("mine", "10.0.0.1", 1)}
	for _, host := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
		servers = append(servers, newServer("s"+host, host, 2))
	}
	p.post(ServerListRead{Complete: true, Put: servers})
	granted := 0
	for range 20 {
		if v := p.requestToken(10); v.Granted {
			granted++
		} else if v.Source != "alone" {
			t.Fatalf("decided by %s", v.Source)
		}
	}
	if granted < 2 || granted > 10 {
		t.Errorf("%d of 20 granted in 2.4 s, want about the share of one of four processes", granted)
	}
}

// Guards against a request that is refused because one datagram was lost: token
// requests are retried.
func TestTokenRequestIsRetried(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2)}})
	p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: 1}}})
	p.sent = nil
	reply := make(chan TokenDecision, 1)
	p.post(TokenRequest{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: reply})
	p.advance(tokenRetryDelay + time.Millisecond)
	var requests []notice.TokenRequest
	for _, send := range p.sent {
		if send.Message.TokenRequest != nil {
			requests = append(requests, *send.Message.TokenRequest)
		}
	}
	if len(requests) != 2 || requests[0].ID != requests[1].ID {
		t.Fatalf("token requests %+v", requests)
	}
	p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{TokenGrant: &notice.TokenGrant{ID: requests[0].ID, Count: 1}}})
	if v := <-reply; !v.Granted || v.Source != "owner" {
		t.Errorf("decision %+v", v)
	}
}

// Guards against a request that crashes servers on several hosts and is not blocked,
// because each host counts only its own crashes.
func TestCrashesOfAllHostsBlockARequest(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerCrashed{CrashID: 1, InFlight: []crashcount.Fingerprint{7}})
	for id := uint64(2); id <= 3; id++ {
		p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{Crash: &notice.Crash{ID: id, InFlight: []uint64{7}}}})
	}
	if _, ok := p.loop.Snapshot().Blocked[7]; !ok {
		t.Error("not blocked after three crashes")
	}
}

// Guards against two owners of a team that both grant its rate: a process that does
// not hear the owner sends its requests through a peer that does.
func TestTokenRequestIsRelayedWhenTheOwnerIsNotHeard(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	hosts := []string{"10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}
	var servers []Server
	for i, host := range hosts {
		servers = append(servers, newServer(host, host, uint64(i+1)))
	}
	p.post(ServerListRead{Complete: true, Put: servers})
	owner := ""
	receiveStatuses := func(seq uint32, from []string, unheard ...string) {
		for _, host := range from {
			p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: seq, Unheard: unheard}}})
		}
	}
	receiveStatuses(1, hosts)
	requestToken := func() SendMessage {
		p.sent = nil
		p.post(TokenRequest{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: make(chan TokenDecision, 1)})
		for _, send := range p.sent {
			if send.Message.TokenRequest != nil {
				return send
			}
		}
		return SendMessage{Hosts: []string{""}}
	}
	owner = requestToken().Hosts[0]
	others := copyWithout(map[string]bool{hosts[0]: true, hosts[1]: true, hosts[2]: true, hosts[3]: true}, owner)
	var rest []string
	for host := range others {
		rest = append(rest, host)
	}
	p.advance(peerTimeout)
	receiveStatuses(2, rest)
	if via := requestToken().Hosts[0]; via == owner || !others[via] {
		t.Errorf("request sent to %q although only peers hear the owner %q", via, owner)
	}
	receiveStatuses(3, rest, owner)
	p.sent = nil
	if to := requestToken().Hosts[0]; to == owner {
		t.Error("request sent to an owner that nobody hears")
	}
}

// Guards against refusals within the rate while the path to an owner fails in one
// direction: its statuses arrive, token requests to it do not.
func TestUnansweredTokenRequestIsRelayed(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	var servers []Server
	hosts := []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"}
	for i, host := range hosts {
		servers = append(servers, newServer(host, host, uint64(i+1)))
	}
	p.post(ServerListRead{Complete: true, Put: servers})
	for _, host := range hosts {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: 1}}})
	}
	requestToken := func() {
		p.post(TokenRequest{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: make(chan TokenDecision, 1)})
	}
	recipients := func() []string {
		var to []string
		for _, send := range p.sent {
			if send.Message.TokenRequest != nil {
				to = append(to, send.Hosts[0])
			}
		}
		return to
	}
	p.sent = nil
	requestToken()
	p.advance(tokenRetryDelay + time.Millisecond)
	to := recipients()
	if len(to) != 2 || to[0] == to[1] {
		t.Fatalf("requests sent to %v, want the retry to another process", to)
	}
	owner := to[0]
	p.sent = nil
	requestToken()
	if to := recipients(); len(to) != 1 || to[0] == owner {
		t.Errorf("next request sent to %v, want it to avoid %s at once", to, owner)
	}
	p.advance(tokenRelayDuration)
	p.sent = nil
	requestToken()
	if to := recipients(); len(to) != 1 || to[0] != owner {
		t.Errorf("request after tokenRelayDuration sent to %v, want the owner %s", to, owner)
	}
}

// Guards against a token request that stops at a process that is not the owner.
func TestTokenRequestIsForwardedToTheOwner(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("s", "10.0.0.2", 2), newServer("r", "10.0.0.3", 3)}})
	for _, host := range []string{"10.0.0.2", "10.0.0.3"} {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: 1}}})
	}
	p.post(TableRead{Table: newTable(t, 7)})
	p.sent = nil
	p.post(MessageReceived{Host: "10.0.0.3", Direct: true, Message: notice.Message{TokenRequest: &notice.TokenRequest{ID: 9, Name: "team", Count: 1}}})
	var forwarded *notice.TokenRequest
	for _, send := range p.sent {
		if send.Message.TokenRequest != nil {
			forwarded = send.Message.TokenRequest
		}
	}
	if forwarded == nil || !forwarded.Relayed {
		t.Fatalf("not forwarded: %+v", p.sent)
	}
	p.sent = nil
	p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{TokenGrant: &notice.TokenGrant{ID: forwarded.ID, Count: 1}}})
	if len(p.sent) != 1 || p.sent[0].Hosts[0] != "10.0.0.3" || p.sent[0].Message.TokenGrant.ID != 9 {
		t.Errorf("the grant was not returned to the requester: %+v", p.sent)
	}
}

// startInFleet starts a process in a fleet of hosts that it has not heard yet.
func startInFleet(t *testing.T, self string, hosts ...string) *testProcess {
	p := startProcess(t, self)
	servers := []Server{newServer("mine", self, 1)}
	for _, host := range hosts {
		servers = append(servers, newServer(host, host, 2))
	}
	p.post(TableRead{Table: newTable(t, 7)})
	p.post(ServerListRead{Complete: true, Put: servers})
	return p
}

// takeStoreQueries returns the host of each store query sent since the last call, by
// ID.
func (p *testProcess) takeStoreQueries() map[uint32]string {
	queries := make(map[uint32]string)
	for _, send := range p.sent {
		if send.Message.StoreQuery != nil {
			queries[send.Message.StoreQuery.ID] = send.Hosts[0]
		}
	}
	p.sent = nil
	return queries
}

// nextStoreQueries advances the time until the next store query.
func (p *testProcess) nextStoreQueries() map[uint32]string {
	p.takeStoreQueries()
	var queries map[uint32]string
	for len(queries) == 0 {
		p.advance(10 * time.Millisecond)
		queries = p.takeStoreQueries()
	}
	return queries
}

// startNonReader starts a process that is not a store reader.
func startNonReader(t *testing.T) *testProcess {
	t.Helper()
	for _, self := range []string{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4", "10.0.1.5"} {
		p := startInFleet(t, self, fleetHosts...)
		p.advance(storeQueryInterval + time.Millisecond)
		if !p.loop.Snapshot().StoreReader {
			return p
		}
	}
	t.Fatal("every process is a reader")
	return nil
}

// Guards against an outdated configuration at a process that has started on a new host: peers
// that do not know the host neither answer its queries nor announce versions to it.
func TestConfigurationIsReadWhileNoReaderHasAnswered(t *testing.T) {
	p := startNonReader(t)
	reads := 0
	for end := p.now.Add(3 * time.Second); p.now.Before(end); {
		p.post(TableConfirmed{BootTime: p.now.Sub(p.started) + time.Hour})
		p.storeReads = nil
		began := p.now
		for len(p.storeReads) == 0 || !p.storeReads[len(p.storeReads)-1].Config {
			p.advance(10 * time.Millisecond)
			if age := p.now.Sub(began); age > 1500*time.Millisecond {
				t.Fatalf("configuration not read %v after it was last confirmed", age)
			}
		}
		reads++
	}
	if reads > 5 {
		t.Errorf("%d reads in 3 s", reads)
	}
}

// Guards against an outdated list after the readers lost their connection to the store
// or their messages were lost.
func TestListIsReadWhenNoReaderAnswers(t *testing.T) {
	p := startNonReader(t)
	p.storeReads = nil
	p.advance(time.Second)
	for _, read := range p.storeReads {
		if read.Servers {
			return
		}
	}
	t.Errorf("the list was not read within a second without answers: %+v", p.storeReads)
}

// Guards against an outdated list after a broadcast was lost: the digest of a reader
// shows the difference. The list comes from that reader, or from the store if it does not
// arrive.
func TestListIsFetchedWhenItDiffers(t *testing.T) {
	p := startNonReader(t)
	for id, host := range p.nextStoreQueries() {
		p.storeReads, p.listHosts = nil, nil
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{StoreState: &notice.StoreState{ID: id, Version: 7}}})
		if !slices.Equal(p.listHosts, []string{host}) || len(p.storeReads) != 0 {
			t.Fatalf("fetched from %v, store reads %+v", p.listHosts, p.storeReads)
		}
		p.post(ServersNotFetched{})
		if len(p.storeReads) != 1 || !p.storeReads[0].Servers || p.storeReads[0].Stale {
			t.Fatalf("store reads %+v after the fetch failed", p.storeReads)
		}
	}
}

// Guards against keys that are trusted for longer because the answer of a reader was
// late: the confirmation counts from when the query was sent.
func TestConfirmationCountsFromTheQuery(t *testing.T) {
	p := startNonReader(t)
	before := p.loop.Snapshot().KeyTrust.Until()
	queries := p.nextStoreQueries()
	boot := p.now.Sub(p.started) + time.Hour
	for id, host := range queries {
		p.now = p.now.Add(60 * time.Millisecond)
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{StoreState: &notice.StoreState{ID: id, Version: 7, AgeMS: 500}}})
	}
	until := p.loop.Snapshot().KeyTrust.Until()
	if latest := boot - 500*time.Millisecond + 4*time.Second; until <= before || until > latest {
		t.Errorf("trusted until %v, want after %v and at most %v", until, before, latest)
	}
}

// Guards against a reader that goes on answering queries after it lost its connection
// to the store.
func TestReaderWithAnOldListDoesNotAnswer(t *testing.T) {
	p := startInFleet(t, "10.0.0.1", "10.0.0.2")
	p.advance(time.Millisecond)
	p.post(TableConfirmed{BootTime: p.now.Sub(p.started) + time.Hour})
	answers := func() int {
		p.sent = nil
		p.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: notice.Message{StoreQuery: &notice.StoreQuery{ID: 1}}})
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
	p.advance(maxReaderListAge + time.Millisecond)
	if answers() != 0 {
		t.Error("a reader answers for a list that it read long ago")
	}
}

// Guards against entry proxies that go on choosing a server at its rate limit: they learn
// the limit and its end from statuses, and a process that does not know it says nothing.
func TestRateLimitIsReportedToPeers(t *testing.T) {
	load := pipeline.Load{Slots: 7}
	exit := startProcess(t, "10.0.0.2")
	exit.load = func() pipeline.Load { return load }
	entry := startProcess(t, "10.0.0.1")
	servers := []Server{newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2)}
	exit.post(ServerListRead{Complete: true, Put: servers})
	entry.post(ServerListRead{Complete: true, Put: servers})
	for _, step := range []struct {
		load pipeline.Load
		want pipeline.RateLimit
	}{
		{pipeline.Load{Slots: 7}, pipeline.RateLimit{}},
		{pipeline.Load{Slots: 7, Limit: pipeline.RateLimit{Known: true, Limited: true, PerSecond: 2.5}, StartWait: time.Second}, pipeline.RateLimit{Known: true, Limited: true, PerSecond: 2.5}},
		{pipeline.Load{Slots: 7, Limit: pipeline.RateLimit{Known: true}}, pipeline.RateLimit{}},
	} {
		exit.sent, load = nil, step.load
		exit.post(LoadChanged{})
		exit.advance(150 * time.Millisecond)
		entry.now = exit.now
		for _, send := range exit.sent {
			entry.post(MessageReceived{Host: "10.0.0.2", Direct: true, Message: send.Message})
		}
		for _, target := range entry.loop.Snapshot().Services["roster"] {
			if limit, _ := target.Live.Limit(entry.now); target.ID == "s" && limit != step.want {
				t.Errorf("entry knows %+v, want %+v", limit, step.want)
			}
		}
	}
}

// Guards against entry proxies that learn late that a server is leaving: its exit proxy
// tells them as soon as an answer says so.
func TestLeavingServerIsReportedAtOnce(t *testing.T) {
	p := startProcess(t, "10.0.0.1")
	p.post(ServerListRead{Complete: true, Put: []Server{newServer("mine", "10.0.0.1", 1), newServer("s", "10.0.0.2", 2)}})
	p.advance(3 * time.Second)
	p.loop.Snapshot().Local["mine"].Live.MarkLeaving()
	p.sent = nil
	p.post(ServerLeaving{})
	p.advance(100 * time.Millisecond)
	for _, send := range p.sent {
		if s := send.Message.Status; s != nil && s.RefusesAttempts && !s.Stopping {
			return
		}
	}
	t.Errorf("no status that refuses attempts within 100 ms: %+v", p.sent)
}
