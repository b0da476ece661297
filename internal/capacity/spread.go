package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// spreadPair is two processes that pass documents on from one to the other.
type spreadPair struct {
	now      time.Time
	from, to *spread.Spreader
	bytes    int // of the messages between them with their frames
}

// changeSlope measures the bytes that one process receives when the rate of one
// team changes, and when it starts without a document.
func changeSlope() ([]Slope, error) {
	change := Slope{Name: "configuration: messages for one changed team", Per: "teams", Unit: "kB"}
	start := Slope{Name: "configuration: messages at a start", Per: "teams", Unit: "kB"}
	for _, teams := range teamSizes {
		p := newSpreadPair()
		for version := range uint64(2) {
			_, parts, err := documentsOf(teams, version+1)
			if err != nil {
				return nil, err
			}
			p.bytes = 0
			p.publish(version+1, parts)
			if version == 0 {
				start.add(teams, float64(p.bytes)/1e3)
				continue
			}
			change.add(teams, float64(p.bytes)/1e3)
		}
	}
	return []Slope{change, start}, nil
}

func newSpreadPair() *spreadPair {
	p := &spreadPair{now: time.Unix(1_800_000_000, 0)}
	members := []rendezvous.Member{{ID: "from", Zone: "1"}, {ID: "to", Zone: "2"}}
	for i, s := range []**spread.Spreader{&p.from, &p.to} {
		*s = spread.New(spread.Options{Self: members[i].ID, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		(*s).SetMembers(members)
	}
	return p
}

// publish lets the first process read a document of the service and pass it on.
// The manifest is not passed on.
func (p *spreadPair) publish(version uint64, parts map[string][]byte) {
	var refs []spread.Ref
	for name, data := range parts {
		refs = append(refs, spread.Ref{Name: name, Digest: spread.DigestOf(data)})
	}
	p.now = p.now.Add(time.Second)
	for _, action := range p.from.Tick(p.now) {
		if read, ok := action.(spread.ReadService); ok {
			m := spread.Manifest{Stamp: spread.StampOf(version, refs), Parts: refs}
			p.serve(p.from.OnServiceRead(p.now, spread.ServiceReadResult{Seq: read.Seq, Manifest: m}), parts)
		}
	}
}

// serve carries out the reads of the first process and its announcement.
func (p *spreadPair) serve(actions []spread.Action, all map[string][]byte) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.ReadServiceParts:
			var parts spread.Parts
			for _, name := range a.Names {
				parts.Parts = append(parts.Parts, spread.Part{Name: name, Digest: spread.DigestOf(all[name]), Bytes: all[name]})
			}
			p.serve(p.from.OnParts(p.now, spread.ConfigService, parts), all)
		case spread.Announce:
			p.count(a.Announcement, struct{}{})
			p.fetch(p.to.OnAnnouncement(p.now, "from", a.Announcement))
		}
	}
}

// fetch carries out the asks of the second process.
func (p *spreadPair) fetch(actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.RequestManifest:
			manifest, _ := p.from.OnManifestRequest(p.now, "to", a.Request)
			p.count(a.Request, manifest)
			p.fetch(p.to.OnManifest(p.now, "from", manifest))
		case spread.RequestParts:
			parts := p.from.OnPartsRequest(a.Request)
			p.count(a.Request, parts)
			p.fetch(p.to.OnParts(p.now, "from", parts))
		}
	}
}

func (p *spreadPair) count(request, reply any) {
	p.bytes += sizeOf(request, reply)
}
