package fleetsim

import (
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
)

const (
	leaseTick = 100 * time.Millisecond
	quotaTick = 10 * time.Millisecond
)

// process is the control loop of one process.
type process struct {
	f           *Fleet
	member      rendezvous.Member
	run         uint64
	rate        float64 // of the clock against virtual time
	dead        bool
	pausedUntil time.Duration
	stopBy      time.Duration // end of a planned stop, 0 without one

	placement *lease.Placement
	witness   *lease.Voter
	candidate *lease.Candidate
	directory *lease.Directory
	keeper    *quota.Leader
	holders   *quota.Holders
	teams     []string
	epochs    map[uint32]uint64 // of the latest tenure seen for each shard
	waiting   map[uint64]waiting
	lastID    uint64
}

// waiting is a request without a decision.
type waiting struct {
	team    string
	settled func(quota.Decision) // may be nil
}

func (f *Fleet) start(m rendezvous.Member) {
	f.runs++
	p := &process{
		f:       f,
		member:  m,
		run:     f.runs,
		rate:    f.clockRate(),
		epochs:  make(map[uint32]uint64),
		waiting: make(map[uint64]waiting),
	}
	now := p.clock()
	p.placement = lease.NewPlacement(f.members)
	p.witness = lease.NewVoter(m.ID, now)
	p.candidate = lease.NewCandidate(lease.CandidateID{Host: m.ID, Incarnation: p.run}, now, p.placement, p.witness)
	p.directory = lease.NewDirectory(p.placement)
	p.keeper = quota.NewLeader(p.run, now, p.candidate)
	p.holders = quota.NewHolders(quota.HolderID{Host: m.ID, Incarnation: p.run}, m.Zone, p.directory)
	for team, l := range f.limits {
		p.setLimit(team, l)
	}
	slices.Sort(p.teams)
	f.processes[m.ID] = p
	f.all = append(f.all, p)
	f.After(f.delay(leaseTick), p, p.tickLease)
	f.After(f.delay(quotaTick), p, p.tickQuota)
}

// clockRate is mostly one of the extremes.
func (f *Fleet) clockRate() float64 {
	x := min(1, max(0, 3*f.rng.Float64()-1))
	return 1 - x*f.cfg.ClockSpread
}

// clock returns the local time. Clocks of processes share no origin.
func (p *process) clock() time.Time {
	origin := time.Unix(int64(p.run)*1000, 0)
	return origin.Add(time.Duration(float64(p.f.now) * p.rate))
}

func (p *process) setMembers(members []rendezvous.Member) {
	p.placement.SetMembers(members)
	p.candidate.MembersChanged(p.clock())
}

// refreshLimits applies the limits in force. A process that resumes is not
// current, and takes no part, before it has heard of the newest configuration.
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
	p.keeper.SetLimit(now, team, l)
	p.holders.SetLimit(now, team, l)
}

func (p *process) tickLease() {
	p.sendPromiseRequests()
	p.keeper.Tick(p.clock())
	p.handOver()
	p.f.After(leaseTick, p, p.tickLease)
}

func (p *process) sendPromiseRequests() {
	for _, req := range p.candidate.Tick(p.clock()) {
		p.f.send(p, req.Voter, func(w *process) {
			reply := w.witness.Promise(w.clock(), req)
			w.f.send(w, p.member.ID, func(c *process) { c.onReply(reply) })
		})
	}
}

// retryInvitation repeats the asks for shards that are handed over to the
// process until it holds them.
func (p *process) retryInvitation() {
	if !p.candidate.HandoverPending(p.clock()) {
		return
	}
	p.f.After(lease.HandoverRetryInterval, p, func() {
		p.sendPromiseRequests()
		p.retryInvitation()
	})
}

func (p *process) onReply(reply lease.PromiseReply) {
	now := p.clock()
	p.candidate.OnReply(now, reply)
	for _, shard := range reply.Promised {
		epoch := p.candidate.Epoch(now, shard)
		if epoch == 0 || epoch == p.epochs[shard] {
			continue
		}
		p.epochs[shard] = epoch
		start := TenureStart{At: p.f.now, Shard: shard, Host: p.member.ID, Rival: p.rival(shard)}
		p.f.Tenures = append(p.f.Tenures, start)
	}
}

// rival returns another process, paused or not, that holds a shard by its own
// clock.
func (p *process) rival(shard uint32) string {
	for _, other := range p.f.all {
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

// handOver offers what is kept to successors: everything in a planned stop, else
// the shards that the process is no longer ranked for.
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
			accept := next.keeper.AcceptHandover(next.clock(), quota.HandoverOffer{Shard: shard, From: p.member.ID})
			next.f.send(next, p.member.ID, func(old *process) { old.release(to, accept) })
		})
	}
}

func (p *process) release(to string, accept quota.HandoverAccept) {
	now := p.clock()
	state, ok := p.keeper.ExportShard(now, accept)
	if !ok {
		return
	}
	releases, _ := p.candidate.Release(now, accept.Shard, to)
	for _, r := range releases {
		p.f.send(p, r.Voter, func(w *process) { w.witness.Release(w.clock(), r) })
	}
	p.f.send(p, to, func(next *process) {
		next.keeper.ImportShard(state)
		next.candidate.ExpectHandover(next.clock(), state.Shard)
		next.sendPromiseRequests()
		next.retryInvitation()
	})
}

func (p *process) tickQuota() {
	for _, h := range p.holders.Due(p.clock(), nil) {
		p.attend(h)
	}
	p.f.After(quotaTick, p, p.tickQuota)
}

func (p *process) request(team string, settled func(quota.Decision)) {
	h := p.holders.Get(team)
	decision := h.TokenCache().TakeChecked(p.clock)
	if decision == quota.Pending {
		p.lastID++
		decision = h.Enqueue(p.clock(), p.lastID, p.clock().Add(time.Second))
	}
	w := waiting{team, settled}
	if decision == quota.Pending {
		p.waiting[p.lastID] = w
	} else {
		p.settle(w, decision)
	}
	p.holders.MarkBusy(team)
	p.attend(h)
}

// takeLate goes on with a reading of the clock from before a pause.
func (p *process) takeLate(team string, share *quota.TokenCache, stale time.Time) {
	readings := 0
	clock := func() time.Time {
		readings++
		if readings == 1 {
			return stale
		}
		return p.clock()
	}
	if share.TakeChecked(clock) == quota.Admit {
		p.admit(team)
	}
}

func (p *process) attend(h *quota.Holder) {
	now := p.clock()
	for {
		ask, ok := h.NextTokenRequest(now)
		if !ok {
			break
		}
		p.sendAsk(ask)
	}
	for _, s := range h.DecideWaiting(now) {
		p.settle(p.waiting[s.ID], s.Decision)
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

func (p *process) sendAsk(ask quota.TokenRequest) {
	p.f.send(p, ask.To, func(k *process) {
		now := k.clock()
		grant := k.keeper.Grant(now, ask)
		if grant.Status == quota.NotLeader {
			grant.Hint, _ = k.witness.Leader(now, ask.Key.Shard())
		}
		k.f.send(k, p.member.ID, func(holder *process) { holder.onGrant(grant) })
	})
}

func (p *process) onGrant(g quota.Grant) {
	if h := p.holders.OnGrant(p.clock(), g); h != nil {
		p.attend(h)
	}
}

func (p *process) sendReturn(r quota.Return) {
	to, ok := p.directory.Target(r.Key.Shard())
	if !ok {
		return
	}
	p.f.send(p, to, func(k *process) { k.keeper.Return(k.clock(), r) })
}

func (p *process) settle(w waiting, d quota.Decision) {
	if d == quota.Admit {
		p.admit(w.team)
	}
	if w.settled != nil {
		w.settled(d)
	}
}

func (p *process) admit(team string) {
	p.f.Admissions = append(p.f.Admissions, Admission{At: p.f.now, Team: team})
}
