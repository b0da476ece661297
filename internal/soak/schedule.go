// Package soak runs the real program as separate processes on loopback, next to fakes
// of the platform. It injects faults from outside the processes and checks what callers
// and backend servers observe against the guarantees of the product.
//
// The faults of a run are derived from its seed: NewSchedule returns the same faults
// for the same seed, number of hosts and duration.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault or of planned maintenance.
type FaultKind string

// Fault kinds.
const (
	Kill          FaultKind = "kill"           // SIGKILL, then a restart
	Pause         FaultKind = "pause"          // SIGSTOP and SIGCONT
	Terminate     FaultKind = "terminate"      // SIGTERM, SIGKILL after the grace time, then a restart
	Reload        FaultKind = "reload"         // SIGHUP
	StoreDown     FaultKind = "store-down"     // the store rejects every call
	StoreCompact  FaultKind = "store-compact"  // the store discards its event history
	StoreCut      FaultKind = "store-cut"      // one host gets no responses from the store
	StoreReset    FaultKind = "store-reset"    // the connections of one host to the store are reset
	LinkDelay     FaultKind = "link-delay"     // connections from peers are delayed
	LinkSilent    FaultKind = "link-silent"    // open connections from peers drop all bytes for good; new ones work
	LinkCutIn     FaultKind = "link-cut-in"    // bytes from peers to one host are dropped
	LinkCutOut    FaultKind = "link-cut-out"   // bytes from one host to peers are dropped on connections that peers opened
	LinkReset     FaultKind = "link-reset"     // connections from peers are reset
	DatagramsLost FaultKind = "datagrams-lost" // datagrams to one host are dropped
	Isolated      FaultKind = "isolated"       // one host gets no store responses and no datagrams; a key is withdrawn
	ServerFails   FaultKind = "server-fails"   // responds with status 500 at once
	ServerHangs   FaultKind = "server-hangs"   // never responds
	ServerResets  FaultKind = "server-resets"  // executes the request and resets the connection
	ServerSlow    FaultKind = "server-slow"    // service times are five times as long
	ServerLimited FaultKind = "server-limited" // names a rate below its load
	ServerCrash   FaultKind = "server-crash"   // stops and restarts under another identifier
	ServerDrain   FaultKind = "server-drain"   // announces that it drains, stops, and is replaced
	KeyWithdrawn  FaultKind = "key-withdrawn"  // the configuration removes a key and adds one
	RouteChanged  FaultKind = "route-changed"  // the configuration moves a route to another service
	TerminateMany FaultKind = "terminate-many" // terminates a third of the hosts, one after the other
	KillAll       FaultKind = "kill-all"       // kills all processes at once
	Overload      FaultKind = "overload"       // service times are so long that requests queue everywhere
	ZoneEvacuated FaultKind = "zone-evacuated" // the operator evacuates the zone of a host; its servers are cold at the end
	StoreRestored FaultKind = "store-restored" // the store comes back from a copy; servers drain and a key is withdrawn meanwhile
)

// faultKinds lists the kinds with the weights with which they are drawn: faults of
// single connections and processes are more frequent than those of the whole fleet.
var faultKinds = []struct {
	kind      FaultKind
	weight    int
	fleetWide bool // concerns no single host
	planned   bool // planned work, or a fault of the store: shutdowns beside it may abort no request

	duration time.Duration // replaces the drawn one; 0 for none
}{
	{Kill, 3, false, false, 0},
	{Pause, 3, false, false, 0},
	{Terminate, 4, false, true, 0},
	{Reload, 2, false, true, 0},
	{StoreDown, 2, true, true, 0},
	{StoreCompact, 2, true, true, 0},
	{StoreCut, 2, false, true, 0},
	{StoreReset, 1, false, true, 0},
	{LinkDelay, 2, false, false, 0},
	{LinkSilent, 2, false, false, 0},
	{LinkCutIn, 2, false, false, 0},
	{LinkCutOut, 2, false, false, 0},
	{LinkReset, 2, false, false, 0},
	{DatagramsLost, 2, false, false, 0},
	{Isolated, 2, false, false, isolationTime},
	{ServerFails, 3, false, false, 0},
	{ServerHangs, 1, false, false, 0},
	{ServerResets, 1, false, false, 0},
	{ServerSlow, 2, false, false, 0},
	{ServerLimited, 3, false, false, limitedTime},
	{ServerCrash, 2, false, false, 0},
	{ServerDrain, 3, false, true, 0},
	{KeyWithdrawn, 3, true, true, 0},
	{RouteChanged, 2, true, true, 0},
	{TerminateMany, 1, true, true, 0},
	{KillAll, 1, true, false, 0},
}

// occasionalKinds occur at most once in a run. They are drawn apart from faultKinds, so that
// the other faults of a seed do not depend on them.
var occasionalKinds = []struct {
	kind     FaultKind
	duration time.Duration
}{
	{ZoneEvacuated, evacuationTime + evacuatedTime},
	{StoreRestored, storeCopyAge + storeReturnTime + 2*drainTime + restartDelay},
}

// Of occasionalOneIn runs, one has each of occasionalKinds.
const occasionalOneIn = 2

// Fault is one scheduled fault.
type Fault struct {
	At       time.Duration // since the start of traffic
	Duration time.Duration // ignored by kinds that happen at one moment
	Kind     FaultKind
	Host     int // index; -1 if it concerns no single host
}

// String describes the fault for logs.
func (f Fault) String() string {
	return fmt.Sprintf("%.2f s %s host %d for %.2f s", f.At.Seconds(), f.Kind, f.Host, f.Duration.Seconds())
}

// Timing of the faults in a run.
const (
	// warmUp and settleTime are the times without faults at the start and at the end
	// of a run. The product guarantees recovery in less time.
	warmUp     = 2 * time.Second
	settleTime = 8 * time.Second
	// minFaultTime and maxFaultTime bound the duration of a fault. The maximum
	// exceeds keyRevocationTime, the time for which keys are trusted.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 6 * time.Second
	// isolationTime exceeds keyRevocationTime, so that an isolated host has to reject keys
	// at the end.
	isolationTime = 7 * time.Second
	// limitedTime exceeds namedRateGrace by a window in which requests are counted.
	limitedTime = namedRateGrace + namedRateWindow
	// faultsPerSecond makes faults overlap: they last 3 s on average.
	faultsPerSecond = 1.2
)

// Of plannedWorkOneIn seeds, one has runs with only planned work and faults of the store
// beside an overload, and one without the overload, so that processes stop early.
const plannedWorkOneIn = 4

// NewSchedule returns the faults of a run in order of time. All of them end before
// the settle time.
func NewSchedule(seed uint64, hosts int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	overloaded := seed%plannedWorkOneIn == 0
	plannedOnly := overloaded || seed%plannedWorkOneIn == plannedWorkOneIn/2
	total := 0
	for _, k := range faultKinds {
		if k.planned || !plannedOnly {
			total += k.weight
		}
	}
	faultWindow := length - warmUp - settleTime
	var faults []Fault
	if overloaded {
		faults = append(faults, Fault{At: warmUp, Duration: faultWindow, Kind: Overload, Host: -1})
	}
	for range int(faultsPerSecond * faultWindow.Seconds()) {
		at := warmUp + time.Duration(random.Int64N(int64(faultWindow)))
		duration := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		fault := Fault{At: at, Duration: min(duration, length-settleTime-at), Host: random.IntN(hosts)}
		pick := random.IntN(total)
		for _, k := range faultKinds {
			if plannedOnly && !k.planned {
				continue
			}
			if pick -= k.weight; pick < 0 {
				fault.Kind = k.kind
				if k.duration > 0 {
					fault.Duration = min(k.duration, length-settleTime-at)
				}
				if k.fleetWide {
					fault.Host = -1
				}
				break
			}
		}
		faults = append(faults, fault)
	}
	faults = append(faults, occasionalFaults(seed, hosts, faultWindow, plannedOnly, faults)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// occasionalFaults draws the faults of occasionalKinds that end within the fault window.
func occasionalFaults(seed uint64, hosts int, faultWindow time.Duration, plannedOnly bool, others []Fault) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	for _, k := range occasionalKinds {
		drawn, host, start := random.IntN(occasionalOneIn) == 0, random.IntN(hosts), random.Float64()
		if !drawn || k.duration > faultWindow {
			continue
		}
		fault := Fault{At: warmUp + time.Duration(start*float64(faultWindow-k.duration)), Duration: k.duration, Kind: k.kind, Host: host}
		if k.kind == StoreRestored {
			if slices.ContainsFunc(others, func(other Fault) bool { return other.Kind == KillAll && fault.overlaps(other.At) }) {
				continue // no process is left that knows what the store lost
			}
			if !plannedOnly {
				// This process starts while the store does not have what it lost.
				faults = append(faults, Fault{At: fault.At + storeCopyAge + storeReturnTime, Kind: Kill, Host: (host + 1) % hosts})
			}
		}
		faults = append(faults, fault)
	}
	return faults
}

// overlaps reports whether a moment lies between the start of the fault and its end.
func (f Fault) overlaps(at time.Duration) bool { return at >= f.At && at <= f.At+f.Duration }
