package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/rendezvous"
	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// spreadPair is two processes, of which the first distributes documents to the
// second.
type spreadPair struct {
	now      time.Time
	from, to *spread.Spreader
	bytes    int // of the messages between them, including frames
}

// changeSlope measures the bytes of the messages with which one process obtains the
// configuration from another: after a change of the rate of one team, and at a start
// without a document.
func changeSlope() ([]Slope, error) {
	change := Slope{Name: "configuration: messages for one changed team", Per: "teams", Unit: "kB"}
	start := Slope{Name: "configuration: messages at a start", Per: "teams", Unit: "kB"}
	for _, teams := range teamCounts {
		p := newSpreadPair()
		for version := range uint64(2) {
			_, parts, err := buildDocuments(teams, version+1)
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

// publish makes the first process read a document of the configuration service and
// announce it to the second. The manifest document of config.Build is not among the
// parts and is not transferred.
func (p *spreadPair) publish(version uint64, parts map[string][]byte) {
	var refs []spread.Ref
	for name, data := range parts {
		refs = append(refs, spread.Ref{Name: name, Digest: spread.DigestOf(data)})
	}
	p.now = p.now.Add(time.Second)
	for _, action := range p.from.Tick(p.now) {
		if read, ok := action.(spread.ReadService); ok {
			m := spread.Manifest{Stamp: spread.StampOf(version, refs), Parts: refs}
			p.performFrom(p.from.OnServiceRead(p.now, spread.ServiceReadResult{Seq: read.Seq, Manifest: m}), parts)
		}
	}
}

// performFrom performs the actions of the first process: it reads the service and
// announces documents.
func (p *spreadPair) performFrom(actions []spread.Action, all map[string][]byte) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.ReadServiceParts:
			var parts spread.Parts
			for _, name := range a.Names {
				parts.Parts = append(parts.Parts, spread.Part{Name: name, Digest: spread.DigestOf(all[name]), Bytes: all[name]})
			}
			p.performFrom(p.from.OnParts(p.now, spread.ConfigService, parts), all)
		case spread.Announce:
			p.count(a.Announcement, struct{}{})
			p.performTo(p.to.OnAnnouncement(p.now, "from", a.Announcement))
		}
	}
}

// performTo performs the requests of the second process.
func (p *spreadPair) performTo(actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.RequestManifest:
			manifest, _ := p.from.OnManifestRequest(p.now, "to", a.Request)
			p.count(a.Request, manifest)
			p.performTo(p.to.OnManifest(p.now, "from", manifest))
		case spread.RequestParts:
			parts := p.from.OnPartsRequest(a.Request)
			p.count(a.Request, parts)
			p.performTo(p.to.OnParts(p.now, "from", parts))
		}
	}
}

func (p *spreadPair) count(request, reply any) {
	p.bytes += encodedBytes(request, reply)
}
