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

// ConfigServiceName is the name of the configuration service in the network.
const ConfigServiceName = "service"

// InvalidPartPrefix marks invalid content: a document with a part that begins with
// it fails validation.
const InvalidPartPrefix = "invalid"

// Config is one version of the document of the configuration service.
type Config struct {
	Stamp spread.Stamp
	Refs  []spread.Ref
	Parts map[string][]byte
}

// NewConfig returns a document with the given version and parts.
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

// SpreadFleet simulates the Spreader of each process and a configuration service.
type SpreadFleet struct {
	Net          *Net
	Members      []rendezvous.Member
	Spreaders    map[string]*spread.Spreader
	Versions     map[string][]uint64 // versions that the current incarnation accepted, in order
	ServiceReads int                 // reads that reached the configuration service

	// Serve returns the document that the configuration service sends to a reader, or
	// nil if it does not answer.
	Serve func(reader string) *Config
	// HostList returns the host list that a process uses; Members by default.
	HostList func(id string) []rendezvous.Member
	// OnSend is called for each message between processes.
	OnSend func(from string, message any)
	// OnAccept is called for each document that a process accepts.
	OnAccept func(id string, d spread.Document)
}

// Members returns n members, assigned to the zones round-robin.
func Members(n, zones int) []rendezvous.Member {
	members := make([]rendezvous.Member, n)
	for i := range members {
		members[i] = rendezvous.Member{ID: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
	}
	return members
}

// NewSpreadFleet returns a fleet without running processes.
func NewSpreadFleet(n *Net, members []rendezvous.Member) *SpreadFleet {
	return &SpreadFleet{
		Net:       n,
		Members:   members,
		Spreaders: make(map[string]*spread.Spreader),
		Versions:  make(map[string][]uint64),
		Serve:     func(string) *Config { return nil },
		HostList:  func(string) []rendezvous.Member { return members },
		OnSend:    func(string, any) {},
		OnAccept:  func(string, spread.Document) {},
	}
}

// Start starts a process, or a new incarnation of it.
func (f *SpreadFleet) Start(id string) {
	f.Net.Restart(id)
	s := spread.New(spread.Options{
		Self:     id,
		Rand:     rand.New(rand.NewPCG(f.Net.Rand.Uint64(), 2)),
		Validate: validate,
	})
	s.SetMembers(f.HostList(id))
	f.Spreaders[id] = s
	f.Versions[id] = nil
	f.tick(id, s)
}

func validate(d spread.Document) error {
	for _, name := range d.Changed {
		if content := d.Parts[name]; len(content) >= len(InvalidPartPrefix) && string(content[:len(InvalidPartPrefix)]) == InvalidPartPrefix {
			return errors.New("part " + name + " is invalid")
		}
	}
	return nil
}

// Stop ends the current incarnation of a process.
func (f *SpreadFleet) Stop(id string) {
	f.Net.Stop(id)
	delete(f.Spreaders, id)
}

func (f *SpreadFleet) tick(id string, s *spread.Spreader) {
	f.perform(id, s.Tick(f.Net.Now()))
	wait := max(s.NextTick().Sub(f.Net.Now()), time.Millisecond)
	f.Net.RunOn(id, wait, func() { f.tick(id, s) })
}

func (f *SpreadFleet) send(from, to string, message any, deliver func(s *spread.Spreader)) {
	f.OnSend(from, message)
	f.Net.Send(from, to, func() { deliver(f.Spreaders[to]) })
}

func (f *SpreadFleet) perform(id string, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.RequestManifest:
			f.requestManifest(id, a)
		case spread.RequestParts:
			f.requestParts(id, a)
		case spread.ReadService:
			f.readService(id, func(c *Config) { f.deliverManifest(id, a, c) })
		case spread.ReadServiceParts:
			f.readService(id, func(c *Config) { f.deliverParts(id, a, c) })
		case spread.Announce:
			for _, peer := range a.Peers {
				f.send(id, peer, a.Announcement, func(s *spread.Spreader) {
					f.perform(peer, s.OnAnnouncement(f.Net.Now(), id, a.Announcement))
				})
			}
		case spread.Accepted:
			f.Versions[id] = append(f.Versions[id], a.Document.Stamp.Version)
			f.OnAccept(id, a.Document)
		}
	}
}

func (f *SpreadFleet) requestManifest(id string, a spread.RequestManifest) {
	f.send(id, a.Peer, a.Request, func(s *spread.Spreader) {
		m, actions := s.OnManifestRequest(f.Net.Now(), id, a.Request)
		f.send(a.Peer, id, m, func(s *spread.Spreader) {
			f.perform(id, s.OnManifest(f.Net.Now(), a.Peer, m))
		})
		f.perform(a.Peer, actions)
	})
}

func (f *SpreadFleet) requestParts(id string, a spread.RequestParts) {
	f.send(id, a.Peer, a.Request, func(s *spread.Spreader) {
		p := s.OnPartsRequest(a.Request)
		f.send(a.Peer, id, p, func(s *spread.Spreader) {
			f.perform(id, s.OnParts(f.Net.Now(), a.Peer, p))
		})
	})
}

// readService reads the configuration service and passes its answer to onReply, if
// the request and the answer arrive.
func (f *SpreadFleet) readService(id string, onReply func(*Config)) {
	f.Net.Send(id, ConfigServiceName, func() {
		f.ServiceReads++
		if c := f.Serve(id); c != nil {
			f.Net.Send(ConfigServiceName, id, func() { onReply(c) })
		}
	})
}

func (f *SpreadFleet) deliverManifest(id string, a spread.ReadService, c *Config) {
	r := spread.ServiceReadResult{Seq: a.Seq, Manifest: spread.Manifest{Stamp: c.Stamp}}
	if a.Have != c.Stamp {
		r.Manifest.Parts = c.Refs
	}
	f.perform(id, f.Spreaders[id].OnServiceRead(f.Net.Now(), r))
}

func (f *SpreadFleet) deliverParts(id string, a spread.ReadServiceParts, c *Config) {
	var p spread.Parts
	for _, name := range a.Names {
		if content, ok := c.Parts[name]; ok {
			p.Parts = append(p.Parts, spread.Part{Name: name, Digest: spread.DigestOf(content), Bytes: content})
		}
	}
	f.perform(id, f.Spreaders[id].OnParts(f.Net.Now(), spread.ConfigService, p))
}
