package path

import "time"

// maxSilentConns bounds what is remembered of silent connections of one peer.
const maxSilentConns = 64

func (p *peer) addSilent(conn uint64) {
	if conn != 0 && len(p.silentConns) < maxSilentConns {
		p.silentConns = append(p.silentConns, conn)
	}
}

// suspect starts a check on a fresh connection, unless one is running, one has
// just succeeded, or the path is broken already.
func (p *peer) suspect(now time.Time, id string) []Action {
	if p.state == Broken || p.probing {
		return nil
	}
	if !p.probeSent.IsZero() && now.Sub(p.probeSent) < probeGap {
		return p.retireSilent(id)
	}
	return []Action{p.change(id, Suspect), p.probe(now, id)}
}

func (p *peer) probeOK(now time.Time, id string) []Action {
	if !p.probing {
		return nil
	}
	p.probing = false
	actions := p.retireSilent(id)
	if p.state != Broken {
		return append(actions, p.change(id, Good))
	}
	p.gotProbes++
	if p.gotProbes < p.needProbes {
		p.nextProbe = now.Add(ProbeInterval)
		return actions
	}
	p.recovered = now
	return append(actions, p.change(id, Good))
}

func (p *peer) probeFailed(now time.Time, id string) []Action {
	if !p.probing {
		return nil
	}
	p.probing = false
	p.gotProbes = 0
	p.nextProbe = p.probeSent.Add(ProbeInterval)
	actions := p.retireSilent(id)
	if p.state == Broken {
		return actions
	}
	p.countBreak(now)
	return append(actions, p.change(id, Broken))
}

// countBreak asks for one more successful probe for each break that follows a
// recovery closely, so that a flapping path does not take traffic every second.
func (p *peer) countBreak(now time.Time) {
	if p.everBroken && now.Sub(p.recovered) < flapWindow {
		p.needProbes = min(p.needProbes+1, maxRecoverProbes)
	} else {
		p.needProbes = 1
	}
	p.everBroken = true
}

func (p *peer) tick(now time.Time, id string) []Action {
	if p.probing && now.Sub(p.probeSent) >= ProbeTimeout {
		return append(p.probeFailed(now, id), p.probeIfDue(now, id)...)
	}
	return p.probeIfDue(now, id)
}

func (p *peer) probeIfDue(now time.Time, id string) []Action {
	if p.state != Broken || p.probing || now.Before(p.nextProbe) {
		return nil
	}
	return []Action{p.probe(now, id)}
}

func (p *peer) due() (time.Time, bool) {
	switch {
	case p.probing:
		return p.probeSent.Add(ProbeTimeout), true
	case p.state == Broken:
		return p.nextProbe, true
	default:
		return time.Time{}, false
	}
}

func (p *peer) probe(now time.Time, id string) Action {
	p.probing = true
	p.probeSent = now
	return Action{Kind: Probe, Peer: id}
}

func (p *peer) change(id string, s State) Action {
	p.state = s
	return Action{Kind: Changed, Peer: id, State: s}
}

func (p *peer) retireSilent(id string) []Action {
	var actions []Action
	for _, conn := range p.silentConns {
		actions = append(actions, Action{Kind: Retire, Peer: id, Conn: conn})
	}
	p.silentConns = p.silentConns[:0]
	return actions
}
