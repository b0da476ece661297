package simnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// ServiceName is the end of the links to the configuration service.
const ServiceName = "service"

// InvalidMark at the start of a part makes the document invalid.
const InvalidMark = "invalid"

// Config is one document of the configuration service.
type Config struct {
	Stamp spread.Stamp
	Refs  []spread.Ref
	Parts map[string][]byte
}

// NewConfig returns a document.
func NewConfig(version uint64, parts map[string][]byte) Config {
	c := Config{Parts: parts}
	for name, content := range parts {
		c.Refs = append(c.Refs, spread.Ref{Name: name, Digest: spread.DigestOf(content)})
	}
	slices.SortFunc(c.Refs, func(a, b spread.Ref) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	c.Stamp = spread.StampOf(version, c.Refs)
	return c
}

// SpreadFleet runs one Spreader for each process beside a configuration service.
type SpreadFleet struct {
	Net      *Net
	Members  []rendezvous.Member
	Spreader map[string]*spread.Spreader
	Versions map[string][]uint64 // versions accepted in the current life, in order
	Reads    int                 // reads that reached the service

	// Serve returns the copy that the service gives to a reader; nil means that it
	// does not answer.
	Serve func(reader string) *Config
	// Lists returns the host list that a process uses; Members by default.
	Lists func(id string) []rendezvous.Member
	// OnSend sees each message between processes.
	OnSend func(from string, message any)
	// OnAccept sees each accepted document.
	OnAccept func(id string, d spread.Document)
}

// Members returns n members over the zones in turn.
func Members(n, zones int) []rendezvous.Member {
	members := make([]rendezvous.Member, n)
	for i := range members {
		members[i] = rendezvous.Member{ID: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
	}
	return members
}

// NewSpreadFleet returns a fleet of which no process runs yet.
func NewSpreadFleet(n *Net, members []rendezvous.Member) *SpreadFleet {
	return &SpreadFleet{
		Net:      n,
		Members:  members,
		Spreader: make(map[string]*spread.Spreader),
		Versions: make(map[string][]uint64),
		Serve:    func(string) *Config { return nil },
		Lists:    func(string) []rendezvous.Member { return members },
		OnSend:   func(string, any) {},
		OnAccept: func(string, spread.Document) {},
	}
}

// Start begins a life of a process.
func (f *SpreadFleet) Start(id string) {
	f.Net.Restart(id)
	s := spread.New(spread.Options{
		Self:     id,
		Rand:     rand.New(rand.NewPCG(f.Net.Rand.Uint64(), 2)),
		Validate: validate,
	})
	s.SetMembers(f.Lists(id))
	f.Spreader[id] = s
	f.Versions[id] = nil
	f.tick(id, s)
}

func validate(d spread.Document) error {
	for _, name := range d.Changed {
		if content := d.Parts[name]; len(content) >= len(InvalidMark) && string(content[:len(InvalidMark)]) == InvalidMark {
			return errors.New("part " + name + " is invalid")
		}
	}
	return nil
}

// Stop ends the life of a process.
func (f *SpreadFleet) Stop(id string) {
	f.Net.Stop(id)
	delete(f.Spreader, id)
}

func (f *SpreadFleet) tick(id string, s *spread.Spreader) {
	f.do(id, s.Tick(f.Net.Now()))
	wait := max(s.NextTick().Sub(f.Net.Now()), time.Millisecond)
	f.Net.On(id, wait, func() { f.tick(id, s) })
}

func (f *SpreadFleet) send(from, to string, message any, deliver func(s *spread.Spreader)) {
	f.OnSend(from, message)
	f.Net.Send(from, to, func() { deliver(f.Spreader[to]) })
}

func (f *SpreadFleet) do(id string, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.RequestManifest:
			f.askManifest(id, a)
		case spread.RequestParts:
			f.askParts(id, a)
		case spread.ReadService:
			f.read(id, func(c *Config) { f.readManifest(id, a, c) })
		case spread.ReadServiceParts:
			f.read(id, func(c *Config) { f.readParts(id, a, c) })
		case spread.Announce:
			for _, peer := range a.Peers {
				f.send(id, peer, a.Announcement, func(s *spread.Spreader) {
					f.do(peer, s.OnAnnouncement(f.Net.Now(), id, a.Announcement))
				})
			}
		case spread.Accepted:
			f.Versions[id] = append(f.Versions[id], a.Document.Stamp.Version)
			f.OnAccept(id, a.Document)
		}
	}
}

func (f *SpreadFleet) askManifest(id string, a spread.RequestManifest) {
	f.send(id, a.Peer, a.Request, func(s *spread.Spreader) {
		m, actions := s.OnManifestRequest(f.Net.Now(), id, a.Request)
		f.send(a.Peer, id, m, func(s *spread.Spreader) {
			f.do(id, s.OnManifest(f.Net.Now(), a.Peer, m))
		})
		f.do(a.Peer, actions)
	})
}

func (f *SpreadFleet) askParts(id string, a spread.RequestParts) {
	f.send(id, a.Peer, a.Request, func(s *spread.Spreader) {
		p := s.OnPartsRequest(a.Request)
		f.send(a.Peer, id, p, func(s *spread.Spreader) {
			f.do(id, s.OnParts(f.Net.Now(), a.Peer, p))
		})
	})
}

// read asks the service, which answers if the links in both directions hold.
func (f *SpreadFleet) read(id string, then func(*Config)) {
	f.Net.Send(id, ServiceName, func() {
		f.Reads++
		if c := f.Serve(id); c != nil {
			f.Net.Send(ServiceName, id, func() { then(c) })
		}
	})
}

func (f *SpreadFleet) readManifest(id string, a spread.ReadService, c *Config) {
	r := spread.ServiceReadResult{Seq: a.Seq, Manifest: spread.Manifest{Stamp: c.Stamp}}
	if a.Have != c.Stamp {
		r.Manifest.Parts = c.Refs
	}
	f.do(id, f.Spreader[id].OnServiceRead(f.Net.Now(), r))
}

func (f *SpreadFleet) readParts(id string, a spread.ReadServiceParts, c *Config) {
	var p spread.Parts
	for _, name := range a.Names {
		if content, ok := c.Parts[name]; ok {
			p.Parts = append(p.Parts, spread.Part{Name: name, Digest: spread.DigestOf(content), Bytes: content})
		}
	}
	f.do(id, f.Spreader[id].OnParts(f.Net.Now(), spread.ConfigService, p))
}
