package path

import "time"

// maxStalledConns limits the stalled connections remembered per peer.
const maxStalledConns = 64

func (p *peer) addStalledConn(conn uint64) {
	if conn != 0 && len(p.stalledConns) < maxStalledConns {
		p.stalledConns = append(p.stalledConns, conn)
	}
}

// startCheck marks the path suspect and probes it on a new connection, unless a
// probe is pending or the path is already broken. If the last probe was sent less
// than minProbeGap ago, it only retires the stalled connections.
func (p *peer) startCheck(now time.Time, id string) []Action {
	if p.state == Broken || p.probing {
		return nil
	}
	if !p.probeSentAt.IsZero() && now.Sub(p.probeSentAt) < minProbeGap {
		return p.retireStalledConns(id)
	}
	return []Action{p.setState(id, Suspect), p.startProbe(now, id)}
}

func (p *peer) handleProbeSuccess(now time.Time, id string) []Action {
	if !p.probing {
		return nil
	}
	p.probing = false
	actions := p.retireStalledConns(id)
	if p.state != Broken {
		return append(actions, p.setState(id, Good))
	}
	p.consecutiveProbes++
	if p.consecutiveProbes < p.requiredProbes {
		p.nextProbeAt = now.Add(ProbeInterval)
		return actions
	}
	p.recoveredAt = now
	return append(actions, p.setState(id, Good))
}

func (p *peer) handleProbeFailure(now time.Time, id string) []Action {
	if !p.probing {
		return nil
	}
	p.probing = false
	p.consecutiveProbes = 0
	p.nextProbeAt = p.probeSentAt.Add(ProbeInterval)
	actions := p.retireStalledConns(id)
	if p.state == Broken {
		return actions
	}
	p.updateRequiredProbes(now)
	return append(actions, p.setState(id, Broken))
}

// updateRequiredProbes requires one more successful probe for each failure within
// flapWindow of a recovery, so that a flapping path does not get traffic every
// second.
func (p *peer) updateRequiredProbes(now time.Time) {
	if p.everBroken && now.Sub(p.recoveredAt) < flapWindow {
		p.requiredProbes = min(p.requiredProbes+1, maxRecoveryProbes)
	} else {
		p.requiredProbes = 1
	}
	p.everBroken = true
}

func (p *peer) tick(now time.Time, id string) []Action {
	if p.probing && now.Sub(p.probeSentAt) >= ProbeTimeout {
		return append(p.handleProbeFailure(now, id), p.probeIfDue(now, id)...)
	}
	return p.probeIfDue(now, id)
}

func (p *peer) probeIfDue(now time.Time, id string) []Action {
	if p.state != Broken || p.probing || now.Before(p.nextProbeAt) {
		return nil
	}
	return []Action{p.startProbe(now, id)}
}

func (p *peer) nextTimer() (time.Time, bool) {
	switch {
	case p.probing:
		return p.probeSentAt.Add(ProbeTimeout), true
	case p.state == Broken:
		return p.nextProbeAt, true
	default:
		return time.Time{}, false
	}
}

func (p *peer) startProbe(now time.Time, id string) Action {
	p.probing = true
	p.probeSentAt = now
	return Action{Kind: SendProbe, Peer: id}
}

func (p *peer) setState(id string, s State) Action {
	p.state = s
	return Action{Kind: StateChanged, Peer: id, State: s}
}

func (p *peer) retireStalledConns(id string) []Action {
	var actions []Action
	for _, conn := range p.stalledConns {
		actions = append(actions, Action{Kind: RetireConn, Peer: id, Conn: conn})
	}
	p.stalledConns = p.stalledConns[:0]
	return actions
}
