package spread

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// fetch is the transfer of the next document.
type fetch struct {
	stamp     Stamp
	from      string
	refs      []Ref // sorted
	confirmed time.Time
	progress  time.Time // when a part last came
}

// take starts to fetch the document of a manifest, or joins the fetch that runs.
func (s *Spreader) take(now time.Time, from string, m Manifest, confirmed time.Time) []Action {
	if f := s.fetch; f != nil {
		if m.Stamp == f.stamp && confirmed.After(f.confirmed) {
			f.confirmed = confirmed
		}
		if !f.stamp.Less(m.Stamp) {
			return nil
		}
	}
	refs, ok := s.resolve(m)
	if !ok {
		return s.askWhole(now, from, m)
	}
	s.fetch = &fetch{stamp: m.Stamp, from: from, refs: refs, confirmed: confirmed, progress: now}
	s.keepWanted(refs)
	return s.pursue(now)
}

// keepWanted drops parts of documents that were given up, so that fetched parts
// never exceed one document.
func (s *Spreader) keepWanted(refs []Ref) {
	wanted := make(map[string][]byte)
	for _, r := range refs {
		if content, ok := s.got[r.Digest]; ok {
			wanted[r.Digest] = content
		}
	}
	s.got = wanted
}

// askWhole asks for the whole manifest when changes do not apply to the document
// in force.
func (s *Spreader) askWhole(now time.Time, from string, m Manifest) []Action {
	if m.Base == (Stamp{}) || from == Service {
		return nil
	}
	_, action := s.newAsk(now, from, Stamp{})
	return []Action{action}
}

// resolve returns the full list of refs of a manifest, checked against its stamp.
func (s *Spreader) resolve(m Manifest) ([]Ref, bool) {
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

// pursue asks for the parts that are missing, or puts the document in force.
func (s *Spreader) pursue(now time.Time) []Action {
	wants := s.missing()
	if len(wants) == 0 {
		return s.finish(now)
	}
	wants = wants[:min(len(wants), MaxWants)]
	if s.fetch.from != Service {
		return []Action{AskParts{Peer: s.fetch.from, Ask: PartsAsk{Wants: wants}}}
	}
	names := make([]string, len(wants))
	for i, w := range wants {
		names[i] = w.Name
	}
	return []Action{ReadServiceParts{Names: names}}
}

func (s *Spreader) missing() []PartWant {
	var wants []PartWant
	for _, r := range s.fetch.refs {
		have := s.digests[r.Name]
		if _, got := s.got[r.Digest]; !got && have != r.Digest {
			wants = append(wants, PartWant{Name: r.Name, Digest: r.Digest, Have: have})
		}
	}
	return wants
}

// OnParts takes the answer to an AskParts or, from Service, to a ReadServiceParts.
// Parts whose bytes do not have the wanted digest are dropped.
func (s *Spreader) OnParts(now time.Time, from string, p Parts) []Action {
	if s.fetch == nil {
		return nil
	}
	wanted := make(map[string]bool)
	for _, w := range s.missing() {
		wanted[w.Digest] = true
	}
	progress := false
	for _, in := range p.Parts {
		content, ok := s.restore(in)
		if digest := DigestOf(content); ok && wanted[digest] {
			s.got[digest] = content
			progress = true
		}
	}
	if !progress {
		return nil
	}
	s.fetch.progress = now
	if from != s.fetch.from && len(s.missing()) > 0 {
		return nil
	}
	return s.pursue(now)
}

// restore returns the whole bytes of a part.
func (s *Spreader) restore(p Part) ([]byte, bool) {
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

// dropStalled gives up a source that sends nothing. The parts that came are kept,
// and the next ask or read finds another source.
func (s *Spreader) dropStalled(now time.Time) {
	if s.fetch != nil && now.Sub(s.fetch.progress) > FetchTimeout {
		s.fetch = nil
	}
}

// finish validates the fetched document and puts it in force.
func (s *Spreader) finish(now time.Time) []Action {
	f := s.fetch
	s.fetch = nil
	doc := s.assemble(f)
	if s.opt.Validate != nil {
		if err := s.opt.Validate(doc); err != nil {
			return s.refuse(now, f, err)
		}
	}
	s.install(doc, f.refs)
	s.confirm(f.confirmed)
	actions := []Action{Accepted{Document: doc, From: f.from}}
	if peers := s.fanout(); len(peers) > 0 {
		actions = append(actions, Announce{Peers: peers, Announcement: Announcement{doc.Stamp}})
	}
	return actions
}

// refuse keeps the last good document in force. The refused document counts as
// seen: it is not fetched again, and the confirmation goes on.
func (s *Spreader) refuse(now time.Time, f *fetch, err error) []Action {
	r := Refusal{Stamp: f.stamp, From: f.from, At: now, Reason: err.Error()}
	s.refusals = append(s.refusals, r)
	if len(s.refusals) > MaxRefusals {
		s.refusals = s.refusals[1:]
	}
	s.got = make(map[string][]byte)
	s.newerAt = time.Time{}
	s.confirm(f.confirmed)
	return []Action{Refused{Refusal: r}}
}

func (s *Spreader) assemble(f *fetch) Document {
	doc := Document{Stamp: f.stamp, Parts: make(map[string][]byte, len(f.refs))}
	for _, r := range f.refs {
		if s.digests[r.Name] == r.Digest {
			doc.Parts[r.Name] = s.doc.Parts[r.Name]
			continue
		}
		doc.Parts[r.Name] = s.got[r.Digest]
		doc.Changed = append(doc.Changed, r.Name)
	}
	for _, r := range s.refs {
		if _, kept := doc.Parts[r.Name]; !kept {
			doc.Removed = append(doc.Removed, r.Name)
		}
	}
	return doc
}

func (s *Spreader) install(doc Document, refs []Ref) {
	s.remember(doc)
	s.previous = s.replaced(doc)
	s.doc, s.refs = doc, refs
	s.digests = make(map[string]string, len(refs))
	for _, r := range refs {
		s.digests[r.Name] = r.Digest
	}
	s.got = make(map[string][]byte)
	for i := range s.recent {
		s.recent[i].agreed = false
	}
	s.newerAt = time.Time{}
}

// replaced returns the copies that the document replaces, besides those that were
// replaced shortly before, up to MaxReplyBytes.
func (s *Spreader) replaced(doc Document) map[string]part {
	kept := make(map[string]part)
	size := 0
	for _, name := range doc.Changed {
		old, had := s.doc.Parts[name]
		if had && size+len(old) <= MaxReplyBytes {
			kept[name] = part{digest: s.digests[name], bytes: old}
			size += len(old)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.previous)) {
		old := s.previous[name]
		if _, newer := kept[name]; !newer && size+len(old.bytes) <= MaxReplyBytes {
			kept[name] = old
			size += len(old.bytes)
		}
	}
	return kept
}

// fanout picks the peers to which an accepted document is announced.
func (s *Spreader) fanout() []string {
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

// change lists the names that differ between one document and the next.
type change struct {
	base  Stamp
	names []string
}

func (s *Spreader) remember(doc Document) {
	if s.doc.Stamp == (Stamp{}) {
		return
	}
	s.history = append(s.history, change{base: s.doc.Stamp, names: slices.Concat(doc.Changed, doc.Removed)})
	if len(s.history) > MaxHistory {
		s.history = s.history[1:]
	}
}

// describe fills in what the document in force has over the asker's: the changes
// if the asker's document is in the history, else all refs.
func (s *Spreader) describe(m *Manifest, have Stamp) {
	at := slices.IndexFunc(s.history, func(c change) bool { return c.base == have })
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

// OnPartsAsk answers a peer's PartsAsk with the parts in force that it wants.
func (s *Spreader) OnPartsAsk(ask PartsAsk) Parts {
	var out Parts
	size := 0
	for _, w := range ask.Wants {
		if s.digests[w.Name] != w.Digest {
			continue
		}
		p := s.reply(w)
		if size += len(p.Bytes); size > MaxReplyBytes && len(out.Parts) > 0 {
			break
		}
		out.Parts = append(out.Parts, p)
	}
	return out
}

// reply sends only the changed bytes if the asker holds the copy before the last
// change. At the goal's size one team of the 70 of a part changes at a time.
func (s *Spreader) reply(w PartWant) Part {
	content := s.doc.Parts[w.Name]
	p := Part{Name: w.Name, Digest: w.Digest, Bytes: content}
	old, ok := s.previous[w.Name]
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
