package spread

import "time"

// pollPeers sends a request to a random peer, and to a reader as well if the age of
// the confirmation is between ReaderRequestMinAge and ReaderRequestMaxAge.
func (s *Spreader) pollPeers(now time.Time) []Action {
	if len(s.peers) == 0 {
		return nil
	}
	peer, zone := s.nextPeer()
	seq, action := s.newManifestRequest(now, peer, s.doc.Stamp)
	s.recentPolls = append(s.recentPolls, peerPoll{seq: seq, zone: zone, sent: now})
	if len(s.recentPolls) > AgreementWindow+1 {
		s.recentPolls = s.recentPolls[1:]
	}
	actions := []Action{action}
	if age := s.confirmationAge(now); len(s.readers) > 0 && age > ReaderRequestMinAge && age < ReaderRequestMaxAge {
		_, direct := s.newManifestRequest(now, s.readers[s.opt.Rand.IntN(len(s.readers))], s.doc.Stamp)
		actions = append(actions, direct)
	}
	return actions
}

// nextPeer returns a random peer of the next zone. Zones take turns by smooth
// weighted round robin, weighted by their number of peers, so that the loss of a
// zone fails no more than its share of any AgreementWindow polls.
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
	return s.pickPeer(best), best.zone
}

// pickPeer returns a random peer of a zone, except those polled recently, so that
// AgreementWindow consecutive polls go to different peers. If the zone has too few
// peers for a random choice, it returns the least recently polled one.
func (s *Spreader) pickPeer(z *zonePeers) string {
	recent := (len(z.ids)*(AgreementWindow-1) + len(s.peers) - 1) / len(s.peers)
	i := 0
	if choice := len(z.ids) - recent; choice > 1 {
		i = s.opt.Rand.IntN(choice)
	}
	peer := z.ids[i]
	copy(z.ids[i:], z.ids[i+1:])
	z.ids[len(z.ids)-1] = peer
	return peer
}

func (s *Spreader) newManifestRequest(now time.Time, peer string, have Stamp) (uint64, Action) {
	s.seq++
	for seq, request := range s.pendingRequests {
		if now.Sub(request.sent) > ConfirmationTTL {
			delete(s.pendingRequests, seq)
		}
	}
	s.pendingRequests[s.seq] = pendingRequest{peer: peer, sent: now}
	return s.seq, RequestManifest{Peer: peer, Request: ManifestRequest{Seq: s.seq, Have: have}}
}

// OnManifestRequest answers a peer's ManifestRequest. If the peer has a newer
// document, it also requests that document.
func (s *Spreader) OnManifestRequest(now time.Time, from string, req ManifestRequest) (Manifest, []Action) {
	m := Manifest{Stamp: s.doc.Stamp, Seq: req.Seq, AgeMS: s.confirmationAgeMS(now)}
	if req.Have.Less(s.doc.Stamp) {
		s.describeChanges(&m, req.Have)
	}
	return m, s.requestIfNewer(now, from, req.Have)
}

// OnAnnouncement handles a peer's announcement.
func (s *Spreader) OnAnnouncement(now time.Time, from string, a Announcement) []Action {
	return s.requestIfNewer(now, from, a.Stamp)
}

// requestIfNewer requests a peer's manifest if the peer's document is wanted, unless
// a request to that peer or a fetch of the document is already in progress.
func (s *Spreader) requestIfNewer(now time.Time, from string, stamp Stamp) []Action {
	if !s.wantsDocument(stamp) {
		return nil
	}
	s.newerSeenAt = now
	if s.fetch != nil && !s.fetch.stamp.Less(stamp) {
		return nil
	}
	for _, request := range s.pendingRequests {
		if request.peer == from && now.Sub(request.sent) < FetchTimeout {
			return nil
		}
	}
	_, action := s.newManifestRequest(now, from, s.doc.Stamp)
	return []Action{action}
}

// wantsDocument reports whether a document is newer than the one in force and was not
// refused.
func (s *Spreader) wantsDocument(stamp Stamp) bool {
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

// OnManifest handles a peer's reply to a RequestManifest. Replies to unknown
// requests, such as those sent before a restart, are dropped.
func (s *Spreader) OnManifest(now time.Time, from string, m Manifest) []Action {
	request, known := s.pendingRequests[m.Seq]
	if !known || request.peer != from {
		return nil
	}
	delete(s.pendingRequests, m.Seq)
	confirmed := confirmationTime(request.sent, m.AgeMS)
	if s.doc.Stamp == m.Stamp || s.refused(m.Stamp) {
		s.confirm(confirmed)
	}
	if s.doc.Stamp == m.Stamp {
		s.recordAgreement(m.Seq)
	}
	if !s.wantsDocument(m.Stamp) {
		return nil
	}
	s.newerSeenAt = now
	return s.startFetch(now, from, m, confirmed)
}

// confirmationTime converts the age of a peer's confirmation to a time on the local
// clock. The age counts back from the sending of the request, so that a reply that
// waited while the process was paused does not appear to be recent.
func confirmationTime(sent time.Time, ageMS int64) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return sent.Add(-time.Duration(ageMS) * time.Millisecond)
}

// OnServiceRead handles the result of a ReadService. A document older than the one
// in force does not count as a confirmation, since it may lack a key withdrawal.
func (s *Spreader) OnServiceRead(now time.Time, r ServiceReadResult) []Action {
	sent, known := s.pendingReads[r.Seq]
	if !known {
		return nil
	}
	delete(s.pendingReads, r.Seq)
	m := r.Manifest
	if len(m.Parts) > 0 {
		m.Stamp = StampOf(m.Version, m.Parts)
		m.Base = Stamp{}
	}
	if s.doc.Stamp == m.Stamp || s.refused(m.Stamp) {
		s.confirm(sent)
	}
	if !s.wantsDocument(m.Stamp) {
		return nil
	}
	s.newerSeenAt = now
	return s.startFetch(now, ConfigService, m, sent)
}

func (s *Spreader) confirm(at time.Time) {
	if s.doc.Stamp != (Stamp{}) && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

func (s *Spreader) recordAgreement(seq uint64) {
	for i := range s.recentPolls {
		if s.recentPolls[i].seq == seq {
			s.recentPolls[i].agreed = true
		}
	}
}

// confirmationAge returns the age of the last confirmation, or a very long time if
// there is none.
func (s *Spreader) confirmationAge(now time.Time) time.Duration {
	return now.Sub(s.confirmedAt)
}

func (s *Spreader) confirmationAgeMS(now time.Time) int64 {
	if s.confirmedAt.IsZero() {
		return NeverConfirmed
	}
	// Rounded up, so that a confirmation never appears younger to the receiver.
	return int64((s.confirmationAge(now) + time.Millisecond - 1) / time.Millisecond)
}

// Current reports whether requests that need a key may be served. This is the case
// if the last confirmation is at most ConfirmationTTL old or, while the service is
// unavailable, if enough peers have the same document and no newer one was reported
// within ConfirmationTTL.
func (s *Spreader) Current(now time.Time) bool {
	if s.doc.Stamp == (Stamp{}) {
		return false
	}
	if s.confirmationAge(now) <= ConfirmationTTL {
		return true
	}
	return now.Sub(s.newerSeenAt) > ConfirmationTTL && s.countAgreeing(now) >= AgreementQuorum
}

// countAgreeing counts the polls that were answered in time with the document in
// force. If there are several zones, it counts at most AgreementQuorum-1 of each.
func (s *Spreader) countAgreeing(now time.Time) int {
	byZone := make(map[string]int, len(s.zones))
	for _, poll := range s.settledPolls() {
		if poll.agreed && now.Sub(poll.sent) <= ConfirmationTTL {
			byZone[poll.zone]++
		}
	}
	count := 0
	for _, n := range byZone {
		if len(s.zones) > 1 {
			n = min(n, AgreementQuorum-1)
		}
		count += n
	}
	return count
}

// settledPolls returns the last AgreementWindow polls. It includes the newest poll only
// once that was answered with the document in force or the next one has been sent,
// since the reply may still be in transit.
func (s *Spreader) settledPolls() []peerPoll {
	if len(s.recentPolls) <= AgreementWindow {
		return s.recentPolls
	}
	if s.recentPolls[AgreementWindow].agreed {
		return s.recentPolls[1:]
	}
	return s.recentPolls[:AgreementWindow]
}

// Freshness returns how recently the document in force was confirmed.
func (s *Spreader) Freshness(now time.Time) Freshness {
	return Freshness{
		Stamp:     s.doc.Stamp,
		Confirmed: s.confirmedAt,
		Agreeing:  s.countAgreeing(now),
		Current:   s.Current(now),
	}
}

// Ready reports whether the process has finished starting: it has the highest
// version known to the service and the peers polled at startup, and is current. Once
// true, it stays true.
func (s *Spreader) Ready(now time.Time) bool {
	if !s.ready {
		s.ready = s.started && s.fetch == nil && s.startupRequestsDone(now) && s.Current(now)
	}
	return s.ready
}

// startupRequestsDone reports whether the service and the peers polled at startup
// have replied or StartupTimeout has passed.
func (s *Spreader) startupRequestsDone(now time.Time) bool {
	if now.Sub(s.startedAt) >= StartupTimeout {
		return true
	}
	for _, request := range s.pendingRequests {
		if request.start {
			return false
		}
	}
	return len(s.pendingReads) == 0
}
