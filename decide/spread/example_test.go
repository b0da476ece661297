package spread_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragwortyard/ragwortyard/decide/spread"
)

// A process reads a document from the configuration service and treats it as
// current for ConfirmationTTL. An invalid document is refused as a whole.
func ExampleSpreader() {
	service := map[string][]byte{"teams": []byte("keys of version 1")}
	version := uint64(1)

	s := spread.New(spread.Options{
		Self: "a",
		Rand: rand.New(rand.NewPCG(1, 1)),
		Validate: func(d spread.Document) error {
			if len(d.Parts["teams"]) == 0 {
				return errors.New("no teams")
			}
			return nil
		},
	})
	var do func(now time.Time, actions []spread.Action)
	do = func(now time.Time, actions []spread.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case spread.ReadService:
				refs := []spread.Ref{{Name: "teams", Digest: spread.DigestOf(service["teams"])}}
				m := spread.Manifest{Stamp: spread.StampOf(version, refs), Parts: refs}
				do(now, s.OnServiceRead(now, spread.ServiceReadResult{Seq: a.Seq, Manifest: m}))
			case spread.ReadServiceParts:
				var p spread.Parts
				for _, name := range a.Names {
					p.Parts = append(p.Parts, spread.Part{Name: name, Bytes: service[name]})
				}
				do(now, s.OnParts(now, spread.ConfigService, p))
			case spread.Accepted:
				fmt.Println("in force:", a.Document.Stamp.Version)
			case spread.Refused:
				fmt.Println("refused:", a.Refusal.Stamp.Version, a.Refusal.Reason)
			}
		}
	}
	now := time.Unix(1000, 0)
	do(now, s.Tick(now))
	fmt.Println("ready:", s.Ready(now), "current:", s.Current(now))

	now = now.Add(spread.ConfirmationTTL + 1) // the process paused
	fmt.Println("current:", s.Current(now))

	version, service["teams"] = 2, nil
	do(now, s.Tick(now))
	fmt.Println("current with version", s.Document().Stamp.Version, s.Current(now))
	// Output:
	// in force: 1
	// ready: true current: true
	// current: false
	// refused: 2 no teams
	// current with version 1 true
}
