// Package soak runs the real program as separate processes on loopback beside
// stand-ins of the platform, injects faults from outside of them, and checks what
// callers and backend servers see against what the product promises.
//
// The faults of a run follow from its seed: NewSchedule gives the same series for
// the same seed and fleet.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds.
const (
	Kill           Kind = "kill"           // SIGKILL; the process is started again
	Pause          Kind = "pause"          // SIGSTOP and SIGCONT
	Terminate      Kind = "terminate"      // SIGTERM, SIGKILL after the grace time; started again
	Reload         Kind = "reload"         // SIGHUP
	StoreDown      Kind = "store-down"     // the store refuses every call
	StoreCompact   Kind = "store-compact"  // the store forgets its history
	StoreCut       Kind = "store-cut"      // one host gets no answers of the store
	StoreReset     Kind = "store-reset"    // the connections of one host to the store are reset
	LinkDelay      Kind = "link-delay"     // connections from peers are slow
	LinkSilent     Kind = "link-silent"    // open connections from peers go silent for good, new ones work
	LinkCutIn      Kind = "link-cut-in"    // bytes of peers to one host are lost
	LinkCutOut     Kind = "link-cut-out"   // bytes of one host to peers are lost on connections of the peers
	LinkReset      Kind = "link-reset"     // connections from peers are reset
	DatagramsLost  Kind = "datagrams-lost" // one host gets no datagrams
	Isolated       Kind = "isolated"       // one host hears neither the store nor peers, and a key is withdrawn
	ServerFails    Kind = "server-fails"   // answers 500 at once
	ServerHangs    Kind = "server-hangs"   // never answers
	ServerResets   Kind = "server-resets"  // works and resets the connection
	ServerSlow     Kind = "server-slow"    // takes five times as long
	ServerCrash    Kind = "server-crash"   // ends and comes back under another identifier
	ServerDrain    Kind = "server-drain"   // announces that it leaves, leaves, and another one comes
	KeyWithdrawn   Kind = "key-withdrawn"  // the configuration takes a key away and adds one
	RouteChanged   Kind = "route-changed"  // the configuration moves a route
	TerminateMany  Kind = "terminate-many" // a third of the hosts, one after the other
	KillEverything Kind = "kill-all"       // all processes at once
)

// kinds are drawn with these weights: faults of single connections and processes
// are more frequent than those of the whole fleet.
var kinds = []struct {
	kind   Kind
	weight int
	whole  bool // no host of its own
}{
	{Kill, 3, false},
	{Pause, 3, false},
	{Terminate, 4, false},
	{Reload, 2, false},
	{StoreDown, 2, true},
	{StoreCompact, 2, true},
	{StoreCut, 2, false},
	{StoreReset, 1, false},
	{LinkDelay, 2, false},
	{LinkSilent, 2, false},
	{LinkCutIn, 2, false},
	{LinkCutOut, 2, false},
	{LinkReset, 2, false},
	{DatagramsLost, 2, false},
	{Isolated, 2, false},
	{ServerFails, 3, false},
	{ServerHangs, 1, false},
	{ServerResets, 1, false},
	{ServerSlow, 2, false},
	{ServerCrash, 2, false},
	{ServerDrain, 3, false},
	{KeyWithdrawn, 3, true},
	{RouteChanged, 2, true},
	{TerminateMany, 1, true},
	{KillEverything, 1, true},
}

// Action is one fault.
type Action struct {
	At   time.Duration // since the begin of traffic
	For  time.Duration // how long it holds, where that fits
	Kind Kind
	Host int // -1 when it concerns no single host
}

// String describes the action for logs.
func (a Action) String() string {
	return fmt.Sprintf("%.2f s %s host %d for %.2f s", a.At.Seconds(), a.Kind, a.Host, a.For.Seconds())
}

// Times of a run.
const (
	// warmUp is the time without faults at the begin, and settle at the end: what
	// the product promises about recovery takes less.
	warmUp = 2 * time.Second
	settle = 8 * time.Second
	// shortest and longest bound how long a fault holds. The longest exceeds the
	// time for which keys are trusted.
	shortest = 300 * time.Millisecond
	longest  = 6 * time.Second
	// isolation exceeds keyDeadline, so that keys must be refused in the end.
	isolation = 7 * time.Second
	// actionsPerSecond makes series overlap: faults hold for 3 s on the mean.
	actionsPerSecond = 1.2
)

// NewSchedule returns the faults of a run with a number of hosts. The last ones
// end before settle.
func NewSchedule(seed uint64, hosts int, length time.Duration) []Action {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	faulty := length - warmUp - settle
	var actions []Action
	for range int(actionsPerSecond * faulty.Seconds()) {
		at := warmUp + time.Duration(random.Int64N(int64(faulty)))
		held := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		action := Action{At: at, For: min(held, length-settle-at), Host: random.IntN(hosts)}
		pick := random.IntN(total)
		for _, k := range kinds {
			if pick -= k.weight; pick < 0 {
				action.Kind = k.kind
				if k.kind == Isolated {
					action.For = min(isolation, length-settle-at)
				}
				if k.whole {
					action.Host = -1
				}
				break
			}
		}
		actions = append(actions, action)
	}
	slices.SortStableFunc(actions, func(a, b Action) int { return int(a.At - b.At) })
	return actions
}
