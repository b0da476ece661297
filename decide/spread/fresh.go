package spread

import "time"

// askNext asks a random peer, and a reader as well if the confirmation grows old.
func (s *Spreader) askNext(now time.Time) []Action {
	if len(s.peers) == 0 {
		return nil
	}
	peer, zone := s.nextPeer()
	seq, action := s.newAsk(now, peer, s.doc.Stamp)
	s.recent = append(s.recent, sample{seq: seq, zone: zone, sent: now})
	if len(s.recent) > AgreeAsks+1 {
		s.recent = s.recent[1:]
	}
	actions := []Action{action}
	if age := s.age(now); len(s.readers) > 0 && age > DirectAfter && age < DirectUntil {
		_, direct := s.newAsk(now, s.readers[s.opt.Rand.IntN(len(s.readers))], s.doc.Stamp)
		actions = append(actions, direct)
	}
	return actions
}

// nextPeer returns a random peer of the next zone. Zones are asked in proportion to
// their peers and evenly in time (smooth weighted round robin), so that the loss of
// a zone costs no more of any AgreeAsks asks than its share.
func (s *Spreader) nextPeer() (peer, zone string) {
	best := &s.zones[0]
	for i := range s.zones {
		z := &s.zones[i]
		z.credit += len(z.ids)
		if z.credit > best.credit {
			best = z
		}
	}
	best.credit -= len(s.peers)
	return s.pickIn(best), best.zone
}

// pickIn returns a random peer of a zone other than those asked lately, so that
// AgreeAsks asks in a row go to different peers. In a small fleet it goes round.
func (s *Spreader) pickIn(z *zonePeers) string {
	lately := (len(z.ids)*(AgreeAsks-1) + len(s.peers) - 1) / len(s.peers)
	i := 0
	if choice := len(z.ids) - lately; choice > 1 {
		i = s.opt.Rand.IntN(choice)
	}
	peer := z.ids[i]
	copy(z.ids[i:], z.ids[i+1:])
	z.ids[len(z.ids)-1] = peer
	return peer
}

func (s *Spreader) newAsk(now time.Time, peer string, have Stamp) (uint64, Action) {
	s.seq++
	for seq, a := range s.asks {
		if now.Sub(a.sent) > CurrentFor {
			delete(s.asks, seq)
		}
	}
	s.asks[s.seq] = ask{peer: peer, sent: now}
	return s.seq, AskManifest{Peer: peer, Ask: ManifestAsk{Seq: s.seq, Have: have}}
}

// OnAsk answers a peer's ManifestAsk. If the peer holds a newer document, it also
// asks the peer for it.
func (s *Spreader) OnAsk(now time.Time, from string, ask ManifestAsk) (Manifest, []Action) {
	m := Manifest{Stamp: s.doc.Stamp, Seq: ask.Seq, AgeMS: s.ageMS(now)}
	if ask.Have.Less(s.doc.Stamp) {
		s.describe(&m, ask.Have)
	}
	return m, s.askIfNewer(now, from, ask.Have)
}

// OnAnnounce takes a peer's announcement.
func (s *Spreader) OnAnnounce(now time.Time, from string, a Announcement) []Action {
	return s.askIfNewer(now, from, a.Stamp)
}

func (s *Spreader) askIfNewer(now time.Time, from string, stamp Stamp) []Action {
	if !s.wants(stamp) {
		return nil
	}
	s.newerAt = now
	if s.fetch != nil && !s.fetch.stamp.Less(stamp) {
		return nil
	}
	for _, a := range s.asks {
		if a.peer == from && now.Sub(a.sent) < FetchTimeout {
			return nil
		}
	}
	_, action := s.newAsk(now, from, s.doc.Stamp)
	return []Action{action}
}

// wants reports whether a document is newer than the one in force and was not
// refused.
func (s *Spreader) wants(stamp Stamp) bool {
	return s.doc.Stamp.Less(stamp) && !s.refused(stamp)
}

func (s *Spreader) refused(stamp Stamp) bool {
	for _, r := range s.refusals {
		if r.Stamp == stamp {
			return true
		}
	}
	return false
}

// OnManifest takes a peer's answer to an AskManifest. Answers to asks that are no
// longer known, such as those of an earlier life, are dropped.
func (s *Spreader) OnManifest(now time.Time, from string, m Manifest) []Action {
	a, known := s.asks[m.Seq]
	if !known || a.peer != from {
		return nil
	}
	delete(s.asks, m.Seq)
	confirmed := confirmedBy(a.sent, m.AgeMS)
	if s.doc.Stamp == m.Stamp || s.refused(m.Stamp) {
		s.confirm(confirmed)
	}
	if s.doc.Stamp == m.Stamp {
		s.agree(m.Seq)
	}
	if !s.wants(m.Stamp) {
		return nil
	}
	s.newerAt = now
	return s.take(now, from, m, confirmed)
}

// confirmedBy returns the time of a peer's confirmation on the own clock. The age
// counts from the sending of the ask, so that an answer that waited for a paused
// process is not taken for a fresh one.
func confirmedBy(sent time.Time, ageMS int64) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return sent.Add(-time.Duration(ageMS) * time.Millisecond)
}

// OnService takes the result of a ReadService. A copy older than the document in
// force confirms nothing: the service may be missing a withdrawal.
func (s *Spreader) OnService(now time.Time, r ServiceRead) []Action {
	sent, known := s.reads[r.Seq]
	if !known {
		return nil
	}
	delete(s.reads, r.Seq)
	m := r.Manifest
	if len(m.Parts) > 0 {
		m.Stamp = StampOf(m.Version, m.Parts)
		m.Base = Stamp{}
	}
	if s.doc.Stamp == m.Stamp || s.refused(m.Stamp) {
		s.confirm(sent)
	}
	if !s.wants(m.Stamp) {
		return nil
	}
	s.newerAt = now
	return s.take(now, Service, m, sent)
}

func (s *Spreader) confirm(at time.Time) {
	if s.doc.Stamp != (Stamp{}) && at.After(s.confirmed) {
		s.confirmed = at
	}
}

func (s *Spreader) agree(seq uint64) {
	for i := range s.recent {
		if s.recent[i].seq == seq {
			s.recent[i].agreed = true
		}
	}
}

// age returns the age of the confirmation, a very long time if there is none.
func (s *Spreader) age(now time.Time) time.Duration {
	return now.Sub(s.confirmed)
}

func (s *Spreader) ageMS(now time.Time) int64 {
	if s.confirmed.IsZero() {
		return NeverConfirmed
	}
	// Rounds up, so that a relayed age never makes a confirmation younger.
	return int64((s.age(now) + time.Millisecond - 1) / time.Millisecond)
}

// Current reports whether requests that need a key may be served: the service had
// nothing newer within CurrentFor, or enough peers agree while it is away.
func (s *Spreader) Current(now time.Time) bool {
	if s.doc.Stamp == (Stamp{}) {
		return false
	}
	if s.age(now) <= CurrentFor {
		return true
	}
	return now.Sub(s.newerAt) > CurrentFor && s.agreeing(now) >= AgreeNeeded
}

// agreeing counts the asks that were answered in time with the document in force.
// Of one zone among several it counts at most AgreeNeeded-1.
func (s *Spreader) agreeing(now time.Time) int {
	byZone := make(map[string]int, len(s.zones))
	for _, a := range s.settled() {
		if a.agreed && now.Sub(a.sent) <= CurrentFor {
			byZone[a.zone]++
		}
	}
	count := 0
	for _, n := range byZone {
		if len(s.zones) > 1 {
			n = min(n, AgreeNeeded-1)
		}
		count += n
	}
	return count
}

// settled returns the last AgreeAsks asks. The newest counts once it is answered or
// another is sent, since its answer may be on the way.
func (s *Spreader) settled() []sample {
	if len(s.recent) <= AgreeAsks {
		return s.recent
	}
	if s.recent[AgreeAsks].agreed {
		return s.recent[1:]
	}
	return s.recent[:AgreeAsks]
}

// Freshness describes how far the document in force can be relied on.
func (s *Spreader) Freshness(now time.Time) Freshness {
	return Freshness{
		Stamp:     s.doc.Stamp,
		Confirmed: s.confirmed,
		Agreeing:  s.agreeing(now),
		Current:   s.Current(now),
	}
}

// Ready reports whether a starting process has taken the highest version that the
// service and its first peers hold, and is current. Once true it stays true.
func (s *Spreader) Ready(now time.Time) bool {
	if !s.ready {
		s.ready = s.started && s.fetch == nil && s.startAnswered(now) && s.Current(now)
	}
	return s.ready
}

func (s *Spreader) startAnswered(now time.Time) bool {
	if now.Sub(s.start) >= StartTimeout {
		return true
	}
	for _, a := range s.asks {
		if a.start {
			return false
		}
	}
	return len(s.reads) == 0
}
