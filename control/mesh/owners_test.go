package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/routing"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// rankedHosts returns five hosts in the order in which they would own the tokens of the
// team "team".
func rankedHosts() []string {
	var members []rendezvous.Member
	for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"} {
		members = append(members, rendezvous.Member{ID: host})
	}
	var hosts []string
	for _, member := range rendezvous.Rank(ownerKey(notice.ForTeam, "team"), members, len(members)) {
		hosts = append(hosts, member.ID)
	}
	return hosts
}

// startAmong starts a process on one of the hosts, which all have listed servers.
func startAmong(t *testing.T, self string, hosts []string) *testProcess {
	return startInFleet(t, self, slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == self })...)
}

// hear posts a status of each host. Each reports that it does not hear the other hosts
// of the fleet.
func (p *testProcess) hear(seq uint32, hosts ...string) {
	unheard := slices.DeleteFunc(rankedHosts(), func(host string) bool { return slices.Contains(hosts, host) })
	for _, host := range hosts {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: seq, Unheard: unheard}}})
	}
}

// hearEachSecond posts statuses of hosts every second for a duration.
func (p *testProcess) hearEachSecond(d time.Duration, seq uint32, hosts ...string) {
	for end := p.now.Add(d); p.now.Before(end); seq++ {
		p.hear(seq, hosts...)
		p.advance(min(time.Second, end.Sub(p.now)))
	}
}

// burst is the burst of the team in grantedAtOnce.
const burst = 50

// grantedAtOnce returns how many of 100 requests of the team are granted immediately by
// this process as the owner.
func (p *testProcess) grantedAtOnce() int {
	granted := 0
	for range 100 {
		reply := make(chan TokenDecision, 1)
		p.post(TokenRequest{Team: &routing.Team{Name: "team", Rate: 5, Burst: burst}, Reply: reply})
		select {
		case decision := <-reply:
			if decision.Granted && decision.Source == "self" {
				granted++
			}
		default:
		}
	}
	return granted
}

// Guards against an owner whose bucket holds the tokens of the time in which another
// process was the owner.
func TestNewOwnerHasNoTokensFromBeforeTheChange(t *testing.T) {
	hosts := rankedHosts()
	p := startAmong(t, hosts[1], hosts)
	p.hear(1, hosts...)
	p.hearEachSecond(8*time.Second, 2, hosts[2:]...)
	p.hear(100, hosts...)
	p.hearEachSecond(peerTimeout-time.Millisecond, 101, hosts[2:]...)
	p.now = p.now.Add(2 * time.Millisecond) // the first owner has been silent for too long; no tick yet
	if n := p.grantedAtOnce(); n == 0 || n >= burst/2 {
		t.Errorf("%d tokens at once from a new owner of a team with a burst of %d", n, burst)
	}
}

// Guards against an owner that starts again with the bucket of an earlier ownership,
// which was filled while another process granted the tokens.
func TestOwnerThatReturnsHasNoTokensFromBefore(t *testing.T) {
	hosts := rankedHosts()
	p := startAmong(t, hosts[0], hosts)
	p.hearEachSecond(3*time.Second, 1, hosts[1:]...)
	if p.grantedAtOnce() == 0 {
		t.Fatal("the process is not the owner")
	}
	p.advance(10 * time.Second)
	p.hear(100, hosts[1:]...)
	if n := p.grantedAtOnce(); n == 0 || n >= burst/2 {
		t.Errorf("%d tokens at once from an owner that was cut off, with a burst of %d", n, burst)
	}
}

// Guards against an owner that is cut off and grants tokens until the others have chosen
// another one.
func TestOwnerThatHearsNobodyStopsBeforeAnotherTakesOver(t *testing.T) {
	hosts := rankedHosts()
	p := startAmong(t, hosts[0], hosts)
	p.hearEachSecond(3*time.Second, 1, hosts[1:]...)
	p.advance(peerTimeout - 1100*time.Millisecond) // the others drop this process after peerTimeout
	if n := p.grantedAtOnce(); n > 0 {
		t.Errorf("%d tokens granted by an owner that hears nobody", n)
	}
}

// Guards against a token request that nobody answers because the process that should
// forward it to the owner uses a detour for its own requests.
func TestForwarderSendsToTheOwnerDirectly(t *testing.T) {
	hosts := rankedHosts()
	p := startAmong(t, hosts[1], hosts)
	p.hear(1, hosts...)
	p.post(TokenRequest{Team: &routing.Team{Name: "team", Rate: 5, Burst: 5}, Reply: make(chan TokenDecision, 1)})
	p.advance(tokenRetryDelay + time.Millisecond) // from now on, its own requests take a detour
	p.sent = nil
	p.post(MessageReceived{Host: hosts[2], Direct: true, Message: notice.Message{TokenRequest: &notice.TokenRequest{ID: 9, Name: "team", Count: 1}}})
	if len(p.sent) != 1 || p.sent[0].Message.TokenRequest == nil || p.sent[0].Hosts[0] != hosts[0] {
		t.Errorf("sent %+v, want the request forwarded to the owner %s", p.sent, hosts[0])
	}
}

// Guards against a fleet without an owner while several hosts stop in turn: a host that
// stops is still heard.
func TestOwnerGrantsWhileOtherHostsStop(t *testing.T) {
	hosts := rankedHosts()
	p := startAmong(t, hosts[0], hosts)
	p.hear(1, hosts[1:]...)
	for _, host := range hosts[2:] {
		p.post(MessageReceived{Host: host, Direct: true, Message: notice.Message{Status: &notice.Status{BootID: 1, Seq: 2, Stopping: true}}})
	}
	p.advance(time.Second)
	if p.grantedAtOnce() == 0 {
		t.Error("no token while three of five hosts stop")
	}
}

// Guards against a silent owner that is replaced late because each process waits for the
// next regular status of the others to learn that they do not hear it either.
func TestSilentHostIsReportedAtOnce(t *testing.T) {
	hosts := rankedHosts()
	p := startAmong(t, hosts[1], hosts)
	p.hear(1, hosts...)
	p.hearEachSecond(peerTimeout-100*time.Millisecond, 2, hosts[2:]...)
	p.sent = nil
	for range 30 { // requests cause ticks
		p.advance(10 * time.Millisecond)
	}
	for _, send := range p.sent {
		if status := send.Message.Status; status != nil && slices.Contains(status.Unheard, hosts[0]) {
			return
		}
	}
	t.Errorf("no status reports the silent host within 200 ms: %+v", p.sent)
}

// Guards against shared retries granted from a budget that the process kept while another
// owner granted them.
func TestOwnerOfRetriesThatReturnsWaitsAWindow(t *testing.T) {
	hosts := rankedHosts()
	var members []rendezvous.Member
	for _, host := range hosts {
		members = append(members, rendezvous.Member{ID: host})
	}
	self := rendezvous.Rank(ownerKey(notice.ForCallRetry, "roster"), members, 1)[0].ID
	others := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == self })
	p := startAmong(t, self, hosts)
	retry := func() bool {
		reply := make(chan TokenDecision, 1)
		p.post(TokenRequest{Purpose: notice.ForCallRetry, Service: "roster", Reply: reply})
		return (<-reply).Granted
	}
	p.hearEachSecond(retryWindow+time.Second, 1, others...)
	if !retry() {
		t.Fatal("the owner grants nothing")
	}
	p.advance(10 * time.Second)
	p.hear(100, others...)
	if retry() {
		t.Error("a retry granted at once by an owner that was cut off")
	}
	p.hearEachSecond(retryWindow+time.Second, 101, others...)
	if !retry() {
		t.Error("no retry after a window")
	}
}
