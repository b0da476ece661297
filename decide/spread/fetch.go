package spread

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// fetch is a transfer in progress of a newer document.
type fetch struct {
	stamp     Stamp
	from      string
	refs      []Ref // sorted
	confirmed time.Time
	progress  time.Time // when a wanted part last arrived
}

// startFetch starts to fetch the document of a manifest, unless a fetch of the same
// or a newer document is in progress.
func (s *Spreader) startFetch(now time.Time, from string, m Manifest, confirmed time.Time) []Action {
	if f := s.fetch; f != nil {
		if m.Stamp == f.stamp && confirmed.After(f.confirmed) {
			f.confirmed = confirmed
		}
		if !f.stamp.Less(m.Stamp) {
			return nil
		}
	}
	refs, ok := s.resolveRefs(m)
	if !ok {
		return s.requestFullManifest(now, from, m)
	}
	s.fetch = &fetch{stamp: m.Stamp, from: from, refs: refs, confirmed: confirmed, progress: now}
	s.pruneFetchedParts(refs)
	return s.continueFetch(now)
}

// pruneFetchedParts drops fetched parts that the new fetch does not need, so that the
// parts kept never exceed one document.
func (s *Spreader) pruneFetchedParts(refs []Ref) {
	wanted := make(map[string][]byte)
	for _, r := range refs {
		if content, ok := s.fetchedParts[r.Digest]; ok {
			wanted[r.Digest] = content
		}
	}
	s.fetchedParts = wanted
}

// requestFullManifest requests the full manifest after a delta that does not apply to
// the document in force.
func (s *Spreader) requestFullManifest(now time.Time, from string, m Manifest) []Action {
	if m.Base == (Stamp{}) || from == ConfigService {
		return nil
	}
	_, action := s.newManifestRequest(now, from, Stamp{})
	return []Action{action}
}

// resolveRefs returns the complete list of refs of a manifest. It reports false if a
// delta does not apply or the refs do not match the stamp.
func (s *Spreader) resolveRefs(m Manifest) ([]Ref, bool) {
	refs := slices.Clone(m.Parts)
	if m.Base != (Stamp{}) {
		if m.Base != s.doc.Stamp {
			return nil, false
		}
		refs = applyChanges(s.refs, m.Parts, m.Removed)
	}
	sortRefs(refs)
	return refs, len(refs) > 0 && StampOf(m.Version, refs) == m.Stamp
}

// applyChanges returns base with the changed refs replaced or added and the removed
// names left out.
func applyChanges(base, changed []Ref, removed []string) []Ref {
	skip := make(map[string]bool, len(changed)+len(removed))
	for _, r := range changed {
		skip[r.Name] = true
	}
	for _, name := range removed {
		skip[name] = true
	}
	refs := slices.Clone(changed)
	for _, r := range base {
		if !skip[r.Name] {
			refs = append(refs, r)
		}
	}
	return refs
}

// continueFetch requests missing parts. Once there are none, it completes the fetch.
func (s *Spreader) continueFetch(now time.Time) []Action {
	wants := s.missingParts()
	if len(wants) == 0 {
		return s.finishFetch(now)
	}
	wants = wants[:min(len(wants), MaxPartsPerRequest)]
	if s.fetch.from != ConfigService {
		return []Action{RequestParts{Peer: s.fetch.from, Request: PartsRequest{Wants: wants}}}
	}
	names := make([]string, len(wants))
	for i, w := range wants {
		names[i] = w.Name
	}
	return []Action{ReadServiceParts{Names: names}}
}

func (s *Spreader) missingParts() []WantedPart {
	var wants []WantedPart
	for _, r := range s.fetch.refs {
		have := s.digests[r.Name]
		if _, fetched := s.fetchedParts[r.Digest]; !fetched && have != r.Digest {
			wants = append(wants, WantedPart{Name: r.Name, Digest: r.Digest, Have: have})
		}
	}
	return wants
}

// OnParts handles the reply to a RequestParts or, with the sender ConfigService, to a
// ReadServiceParts. Parts whose bytes do not have a wanted digest are dropped.
func (s *Spreader) OnParts(now time.Time, from string, p Parts) []Action {
	if s.fetch == nil {
		return nil
	}
	wanted := make(map[string]bool)
	for _, w := range s.missingParts() {
		wanted[w.Digest] = true
	}
	progress := false
	for _, in := range p.Parts {
		content, ok := s.restorePart(in)
		if digest := DigestOf(content); ok && wanted[digest] {
			s.fetchedParts[digest] = content
			progress = true
		}
	}
	if !progress {
		return nil
	}
	s.fetch.progress = now
	if from != s.fetch.from && len(s.missingParts()) > 0 {
		return nil
	}
	return s.continueFetch(now)
}

// restorePart returns the complete bytes of a part. It reports false if a delta does
// not apply to the part in force.
func (s *Spreader) restorePart(p Part) ([]byte, bool) {
	if p.Base == "" {
		return p.Bytes, true
	}
	base := s.doc.Parts[p.Name]
	if s.digests[p.Name] != p.Base {
		return nil, false
	}
	if len(p.Edits) > 0 {
		return applyEdits(base, p.Edits)
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base)-p.Suffix {
		return nil, false
	}
	return slices.Concat(base[:p.Prefix], p.Bytes, base[len(base)-p.Suffix:]), true
}

// abortStalledFetch aborts the fetch if its source has sent no wanted part for
// FetchTimeout. The parts already fetched are kept, and the next poll or read starts
// a new fetch, usually from another source.
func (s *Spreader) abortStalledFetch(now time.Time) {
	if s.fetch != nil && now.Sub(s.fetch.progress) > FetchTimeout {
		s.fetch = nil
	}
}

// finishFetch validates the fetched document, puts it in force and announces it.
func (s *Spreader) finishFetch(now time.Time) []Action {
	f := s.fetch
	s.fetch = nil
	doc := s.assembleDocument(f)
	if s.opt.Validate != nil {
		if err := s.opt.Validate(doc); err != nil {
			return s.refuseDocument(now, f, err)
		}
	}
	s.installDocument(doc, f.refs)
	s.confirm(f.confirmed)
	actions := []Action{Accepted{Document: doc, From: f.from}}
	if peers := s.pickAnnouncePeers(); len(peers) > 0 {
		actions = append(actions, Announce{Peers: peers, Announcement: Announcement{doc.Stamp}})
	}
	return actions
}

// refuseDocument records the refusal and keeps the previous document in force. The
// refused document is not fetched again, and replies that report it still count as
// confirmations.
func (s *Spreader) refuseDocument(now time.Time, f *fetch, err error) []Action {
	r := Refusal{Stamp: f.stamp, From: f.from, At: now, Reason: err.Error()}
	s.refusals = append(s.refusals, r)
	if len(s.refusals) > MaxRefusals {
		s.refusals = s.refusals[1:]
	}
	s.fetchedParts = make(map[string][]byte)
	s.newerSeenAt = time.Time{}
	s.confirm(f.confirmed)
	return []Action{Refused{Refusal: r}}
}

// assembleDocument builds the document from fetched parts and unchanged parts of the
// document in force.
func (s *Spreader) assembleDocument(f *fetch) Document {
	doc := Document{Stamp: f.stamp, Parts: make(map[string][]byte, len(f.refs))}
	for _, r := range f.refs {
		if s.digests[r.Name] == r.Digest {
			doc.Parts[r.Name] = s.doc.Parts[r.Name]
			continue
		}
		doc.Parts[r.Name] = s.fetchedParts[r.Digest]
		doc.Changed = append(doc.Changed, r.Name)
	}
	for _, r := range s.refs {
		if _, kept := doc.Parts[r.Name]; !kept {
			doc.Removed = append(doc.Removed, r.Name)
		}
	}
	return doc
}

func (s *Spreader) installDocument(doc Document, refs []Ref) {
	s.recordChange(doc)
	s.previousParts = s.replacedParts(doc)
	s.doc, s.refs = doc, refs
	s.digests = make(map[string]string, len(refs))
	for _, r := range refs {
		s.digests[r.Name] = r.Digest
	}
	s.fetchedParts = make(map[string][]byte)
	for i := range s.recentPolls {
		s.recentPolls[i].agreed = false
	}
	s.newerSeenAt = time.Time{}
}

// replacedParts returns the content of the parts that the document replaces, then of
// parts replaced by earlier documents, up to MaxReplyBytes in total.
func (s *Spreader) replacedParts(doc Document) map[string]storedPart {
	kept := make(map[string]storedPart)
	size := 0
	for _, name := range doc.Changed {
		old, had := s.doc.Parts[name]
		if had && size+len(old) <= MaxReplyBytes {
			kept[name] = storedPart{digest: s.digests[name], bytes: old}
			size += len(old)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.previousParts)) {
		old := s.previousParts[name]
		if _, newer := kept[name]; !newer && size+len(old.bytes) <= MaxReplyBytes {
			kept[name] = old
			size += len(old.bytes)
		}
	}
	return kept
}

// pickAnnouncePeers returns random peers to which an accepted document is announced.
func (s *Spreader) pickAnnouncePeers() []string {
	n := min(Fanout, len(s.peers))
	picked := make([]string, 0, n)
	for len(picked) < n {
		peer := s.peers[s.opt.Rand.IntN(len(s.peers))]
		if !slices.Contains(picked, peer) {
			picked = append(picked, peer)
		}
	}
	return picked
}

// documentChange lists the parts that differ between a document and its successor.
type documentChange struct {
	base  Stamp    // the earlier document
	names []string // parts added, modified or removed
}

func (s *Spreader) recordChange(doc Document) {
	if s.doc.Stamp == (Stamp{}) {
		return
	}
	s.history = append(s.history, documentChange{base: s.doc.Stamp, names: slices.Concat(doc.Changed, doc.Removed)})
	if len(s.history) > MaxHistoryVersions {
		s.history = s.history[1:]
	}
}

// describeChanges fills in how the document in force differs from the requester's: a
// delta if the requester's document is in the history, otherwise all refs.
func (s *Spreader) describeChanges(m *Manifest, have Stamp) {
	at := slices.IndexFunc(s.history, func(c documentChange) bool { return c.base == have })
	if at < 0 {
		m.Parts = s.refs
		return
	}
	m.Base = have
	names := make(map[string]bool)
	for _, c := range s.history[at:] {
		for _, name := range c.names {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if digest, ok := s.digests[name]; ok {
			m.Parts = append(m.Parts, Ref{Name: name, Digest: digest})
		} else {
			m.Removed = append(m.Removed, name)
		}
	}
}

// OnPartsRequest answers a peer's PartsRequest with the wanted parts that belong to
// the document in force.
func (s *Spreader) OnPartsRequest(req PartsRequest) Parts {
	var out Parts
	size := 0
	for _, w := range req.Wants {
		if s.digests[w.Name] != w.Digest {
			continue
		}
		p := s.partReply(w)
		if size += len(p.Bytes); size > MaxReplyBytes && len(out.Parts) > 0 {
			break
		}
		out.Parts = append(out.Parts, p)
	}
	return out
}

// partReply returns a part for a reply. It contains only the changed bytes if the
// requester has the copy before the last change. At the target fleet size, a part
// holds 70 teams, of which one changes at a time.
func (s *Spreader) partReply(w WantedPart) Part {
	content := s.doc.Parts[w.Name]
	p := Part{Name: w.Name, Digest: w.Digest, Bytes: content}
	old, ok := s.previousParts[w.Name]
	if !ok || w.Have == "" || old.digest != w.Have {
		return p
	}
	p.Base = w.Have
	if p.Edits, ok = editsBetween(old.bytes, content); ok {
		p.Bytes = nil
		return p
	}
	p.Prefix = commonPrefix(old.bytes, content)
	p.Suffix = commonSuffix(old.bytes[p.Prefix:], content[p.Prefix:])
	p.Bytes = bytes.Clone(content[p.Prefix : len(content)-p.Suffix])
	return p
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
