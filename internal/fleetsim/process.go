package fleetsim

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	leaseTickInterval = 100 * time.Millisecond
	quotaTickInterval = 10 * time.Millisecond
)

// process simulates one process with its control loop.
type process struct {
	f           *Fleet
	member      rendezvous.Member
	incarnation uint64
	clockRate   float64 // local time per virtual time
	dead        bool
	pausedUntil time.Duration
	stopBy      time.Duration // deadline of a planned stop, 0 if none

	placement *lease.Placement
	voter     *lease.Voter
	candidate *lease.Candidate
	directory *lease.Directory
	leader    *quota.Leader
	holders   *quota.Holders
	teams     []string
	epochs    map[uint32]uint64 // latest epoch held for each shard
	waiting   map[uint64]waitingRequest
	lastID    uint64
}

// waitingRequest is a request without a decision yet.
type waitingRequest struct {
	team       string
	onDecision func(quota.Decision) // may be nil
}

func (f *Fleet) start(m rendezvous.Member) {
	f.lastIncarnation++
	p := &process{
		f:           f,
		member:      m,
		incarnation: f.lastIncarnation,
		clockRate:   f.clockRate(),
		epochs:      make(map[uint32]uint64),
		waiting:     make(map[uint64]waitingRequest),
	}
	now := p.clock()
	p.placement = lease.NewPlacement(f.members)
	p.voter = lease.NewVoter(m.ID, now)
	p.candidate = lease.NewCandidate(lease.CandidateID{Host: m.ID, Incarnation: p.incarnation}, now, p.placement, p.voter)
	p.directory = lease.NewDirectory(p.placement)
	p.leader = quota.NewLeader(p.incarnation, now, p.candidate)
	p.holders = quota.NewHolders(quota.HolderID{Host: m.ID, Incarnation: p.incarnation}, m.Zone, p.directory)
	for team, l := range f.limits {
		p.setLimit(team, l)
	}
	slices.Sort(p.teams)
	f.processes[m.ID] = p
	f.allProcesses = append(f.allProcesses, p)
	f.After(f.delay(leaseTickInterval), p, p.tickLease)
	f.After(f.delay(quotaTickInterval), p, p.tickQuota)
}

// clockRate draws the rate of a clock: either extreme with probability 1/3 each, else a
// value between them.
func (f *Fleet) clockRate() float64 {
	x := min(1, max(0, 3*f.rng.Float64()-1))
	return 1 - x*f.cfg.MaxClockSlowdown
}

// clock returns the local time. Each process has a clock origin of its own.
func (p *process) clock() time.Time {
	origin := time.Unix(int64(p.incarnation)*1000, 0)
	return origin.Add(time.Duration(float64(p.f.now) * p.clockRate))
}

func (p *process) setMembers(members []rendezvous.Member) {
	p.placement.SetMembers(members)
	p.candidate.MembersChanged(p.clock())
}

// refreshLimits applies the current limits. A resumed process has an outdated
// configuration and takes no part until it has received the newest one.
func (p *process) refreshLimits() {
	for _, team := range p.teams {
		p.setLimit(team, p.f.limits[team])
	}
}

func (p *process) setLimit(team string, l quota.Limit) {
	now := p.clock()
	if p.holders.Get(team) == nil {
		p.teams = append(p.teams, team)
	}
	p.leader.SetLimit(now, team, l)
	p.holders.SetLimit(now, team, l)
}

func (p *process) tickLease() {
	p.sendPromiseRequests()
	p.leader.Tick(p.clock())
	p.handOver()
	p.f.After(leaseTickInterval, p, p.tickLease)
}

func (p *process) sendPromiseRequests() {
	for _, req := range p.candidate.Tick(p.clock()) {
		p.f.send(p, req.Voter, func(v *process) {
			reply := v.voter.Promise(v.clock(), req)
			v.f.send(v, p.member.ID, func(c *process) { c.onPromiseReply(reply) })
		})
	}
}

// retryHandover repeats the promise requests for shards that are being handed over
// to the process until it holds them or the handover has expired.
func (p *process) retryHandover() {
	if !p.candidate.HandoverPending(p.clock()) {
		return
	}
	p.f.After(lease.HandoverRetryInterval, p, func() {
		p.sendPromiseRequests()
		p.retryHandover()
	})
}

func (p *process) onPromiseReply(reply lease.PromiseReply) {
	now := p.clock()
	p.candidate.OnReply(now, reply)
	for _, shard := range reply.Promised {
		epoch := p.candidate.Epoch(now, shard)
		if epoch == 0 || epoch == p.epochs[shard] {
			continue
		}
		p.epochs[shard] = epoch
		start := TenureStart{At: p.f.now, Shard: shard, Host: p.member.ID, OtherLeader: p.otherLeader(shard)}
		p.f.Tenures = append(p.f.Tenures, start)
	}
}

// otherLeader returns the host of another process, paused or not, that leads a
// shard by its own clock, "" if there is none.
func (p *process) otherLeader(shard uint32) string {
	for _, other := range p.f.allProcesses {
		if other != p && !other.dead && other.candidate.Holds(other.clock(), shard) {
			return other.member.ID
		}
	}
	return ""
}

func (p *process) stop(by time.Duration) {
	p.stopBy = by
	p.candidate.StopAcquiring()
	p.handOver()
}

// handOver offers shards to their successors: all held shards during a planned
// stop, otherwise those for which the process is no longer ranked as a candidate.
func (p *process) handOver() {
	now := p.clock()
	shards := p.candidate.DisplacedShards(now)
	if p.stopBy > 0 {
		shards = p.candidate.HeldShards(now)
		if len(shards) == 0 || p.f.now >= p.stopBy {
			p.f.Crash(p.member.ID)
			return
		}
	}
	for _, shard := range shards {
		to, ok := p.candidate.Successor(shard)
		if !ok {
			continue
		}
		p.f.send(p, to, func(next *process) {
			accept := next.leader.AcceptHandover(next.clock(), quota.HandoverOffer{Shard: shard, From: p.member.ID})
			next.f.send(next, p.member.ID, func(old *process) { old.onHandoverAccept(to, accept) })
		})
	}
}

// onHandoverAccept releases a shard whose successor accepted the handover and sends
// the exported quota state to the successor.
func (p *process) onHandoverAccept(to string, accept quota.HandoverAccept) {
	now := p.clock()
	state, ok := p.leader.ExportShard(now, accept)
	if !ok {
		return
	}
	releases, _ := p.candidate.Release(now, accept.Shard, to)
	for _, r := range releases {
		p.f.send(p, r.Voter, func(v *process) { v.voter.Release(v.clock(), r) })
	}
	p.f.send(p, to, func(next *process) {
		next.leader.ImportShard(state)
		next.candidate.ExpectHandover(next.clock(), state.Shard)
		next.sendPromiseRequests()
		next.retryHandover()
	})
}

func (p *process) tickQuota() {
	for _, h := range p.holders.Due(p.clock(), nil) {
		p.driveHolder(h)
	}
	p.f.After(quotaTickInterval, p, p.tickQuota)
}

func (p *process) request(team string, onDecision func(quota.Decision)) {
	h := p.holders.Get(team)
	decision := h.TokenCache().TakeChecked(p.clock)
	if decision == quota.Pending {
		p.lastID++
		decision = h.Enqueue(p.clock(), p.lastID, p.clock().Add(time.Second))
	}
	w := waitingRequest{team, onDecision}
	if decision == quota.Pending {
		p.waiting[p.lastID] = w
	} else {
		p.finish(w, decision)
	}
	p.holders.MarkBusy(team)
	p.driveHolder(h)
}

// takeWithStaleClock takes a token with a clock whose first reading is from before a
// pause.
func (p *process) takeWithStaleClock(team string, cache *quota.TokenCache, stale time.Time) {
	readings := 0
	clock := func() time.Time {
		readings++
		if readings == 1 {
			return stale
		}
		return p.clock()
	}
	if cache.TakeChecked(clock) == quota.Admit {
		p.admit(team)
	}
}

// driveHolder sends the token requests and returns of a holder and finishes the client
// requests that it has decided.
func (p *process) driveHolder(h *quota.Holder) {
	now := p.clock()
	for {
		request, ok := h.NextTokenRequest(now)
		if !ok {
			break
		}
		p.sendTokenRequest(request)
	}
	for _, s := range h.DecideWaiting(now) {
		p.finish(p.waiting[s.ID], s.Decision)
		delete(p.waiting, s.ID)
	}
	for {
		r, ok := h.NextReturn(now)
		if !ok {
			break
		}
		p.sendReturn(r)
	}
}

func (p *process) sendTokenRequest(request quota.TokenRequest) {
	p.f.send(p, request.To, func(l *process) {
		now := l.clock()
		grant := l.leader.Grant(now, request)
		if grant.Status == quota.NotLeader {
			grant.Hint, _ = l.voter.Leader(now, request.Key.Shard())
		}
		l.f.send(l, p.member.ID, func(holder *process) { holder.onGrant(grant) })
	})
}

func (p *process) onGrant(g quota.Grant) {
	if h := p.holders.OnGrant(p.clock(), g); h != nil {
		p.driveHolder(h)
	}
}

func (p *process) sendReturn(r quota.Return) {
	to, ok := p.directory.Target(r.Key.Shard())
	if !ok {
		return
	}
	p.f.send(p, to, func(l *process) { l.leader.Return(l.clock(), r) })
}

func (p *process) finish(w waitingRequest, d quota.Decision) {
	if d == quota.Admit {
		p.admit(w.team)
	}
	if w.onDecision != nil {
		w.onDecision(d)
	}
}

func (p *process) admit(team string) {
	p.f.Admissions = append(p.f.Admissions, Admission{At: p.f.now, Team: team})
}
