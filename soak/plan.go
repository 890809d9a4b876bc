package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/standin/keyed"
	"marjoramshore.example/standin/objects"
)

// Kind is a kind of disturbance: planned work or a fault.
type Kind uint8

// Kinds of disturbances. Those up to and including lastPlanned are planned work,
// during which every request must get a complete response.
const (
	// Restart stops a node's process with SIGTERM and starts it again.
	Restart Kind = iota
	// Reload sends SIGHUP to a node's process.
	Reload
	// Configure publishes a configuration with one more route.
	Configure
	// Leave drains a backend server, ends it, and starts another instance.
	Leave

	// Kill ends a node's process with SIGKILL and starts it again.
	Kill
	// Pause suspends a node's process with SIGSTOP, and resumes it.
	Pause
	// Crash ends a backend server at once and starts another instance.
	Crash
	// CutIn blocks the traffic between other nodes and a node.
	CutIn
	// CutBack blocks the replies of a node to other nodes.
	CutBack
	// Mute drops the beacons that a node sends.
	Mute
	// ResetIn resets the connections of other nodes to a node.
	ResetIn
	// SlowIn delays the traffic between other nodes and a node.
	SlowIn
	// CutStore cuts a node off from the store.
	CutStore
	// StoreDown makes every call to the store fail.
	StoreDown
	// StoreSlow delays the traffic between all nodes and the store.
	StoreSlow
	// StoreLost makes the store apply writes without a response.
	StoreLost
	// StoreForget discards the history that the store keeps for watches.
	StoreForget
	// StoreDeaf makes the store send no changes to watches.
	StoreDeaf
	// Misbehave makes a backend server fail requests.
	Misbehave
	// Throttle gives a node's process processor time in short turns only.
	Throttle
	// StoreGarble makes the store send bytes that are no responses.
	StoreGarble

	// Refuse makes a backend server refuse new connections while it goes on. It is not
	// drawn unless Shape.Kinds names it, so that the plans of known seeds stay.
	Refuse
	kindCount // number of kinds
)

const lastPlanned = Leave

var kindNames = [kindCount]string{
	"restart", "reload", "configure", "leave", "kill", "pause", "crash", "cut-in", "cut-back", "mute", "reset-in", "slow-in",
	"cut-store", "store-down", "store-slow", "store-lost", "store-forget", "store-deaf", "misbehave", "throttle", "store-garble", "refuse",
}

// String returns the name of the kind in plans and reports.
func (k Kind) String() string { return kindNames[k] }

// Planned reports whether the disturbance is planned work.
func (k Kind) Planned() bool { return k <= lastPlanned }

// DelaysNodes reports whether the disturbance delays what a node handles, or what
// the nodes send to each other.
func (k Kind) DelaysNodes() bool {
	return slices.Contains([]Kind{Pause, CutIn, CutBack, ResetIn, SlowIn, Throttle}, k)
}

// Step is one disturbance of a plan. At counts from the start of the callers.
type Step struct {
	At, Duration time.Duration
	Kind         Kind
	// Node is the index of the disturbed node.
	Node int
	// Variant selects one of the variants of the kind, such as a type of fault.
	Variant int
}

// String returns the line that logs and reports show for the step.
func (s Step) String() string {
	name := s.Kind.String()
	switch s.Kind {
	case Misbehave:
		name += "=" + s.serverFault().String()
	case StoreGarble:
		name += "=" + s.storeFault().String()
	}
	return fmt.Sprintf("%.1fs %s node %d for %.1fs", s.At.Seconds(), name, s.Node, s.Duration.Seconds())
}

// serverFault returns the fault of a Misbehave step.
func (s Step) serverFault() keyed.Fault { return keyed.Fault(1 + s.Variant%(keyed.FaultCount-1)) }

// storeFault returns the fault of a StoreGarble step.
func (s Step) storeFault() objects.Fault {
	return objects.Fault(1 + s.Variant%(objects.FaultCount-1))
}

// Shape is the size of a run and the type and rate of its disturbances.
type Shape struct {
	// Keyed and Plain are the numbers of nodes whose backend servers divide the
	// keys of a service, and whose backend servers have no keys.
	Keyed, Plain int
	// Trouble is the period in which disturbances begin.
	Trouble time.Duration
	// Planned restricts the plan to planned work.
	Planned bool
	// Overlap makes the plan one of planned work in bursts, which stop several
	// nodes while others are restarted, reloaded and reconfigured.
	Overlap bool
	// Slow gives the processes one processor each, in short turns, during the
	// whole run.
	Slow bool
	// Kinds restricts a plan without Overlap to these kinds, if it is not empty.
	Kinds []Kind
	// Gap is the mean time between two disturbances, or bursts.
	Gap time.Duration
	// RateLimit is the limit, in requests a second, that the backend server of the
	// last node names in its answers, or 0.
	RateLimit float64
	// GrantByCall makes the nodes grant keys by calls, of which one in
	// unansweredCallOneIn is carried out without an answer after callDelay.
	GrantByCall bool
}

const (
	unansweredCallOneIn = 8
	callDelay           = 400 * time.Millisecond
)

// onlyPlanned reports whether the plan has no faults, so that no link to a node
// is disturbed.
func (s Shape) onlyPlanned() bool { return s.Planned || s.Overlap }

// allowedKinds returns the kinds that a plan without Overlap draws from.
func (s Shape) allowedKinds() []Kind {
	if len(s.Kinds) > 0 && !s.onlyPlanned() {
		return s.Kinds
	}
	var kinds []Kind
	for k := range Refuse {
		if k.Planned() || !s.Planned {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// ParseKinds parses the names of kinds, separated by commas. No names are no
// restriction.
func ParseKinds(names string) ([]Kind, error) {
	var kinds []Kind
	for name := range strings.SplitSeq(names, ",") {
		if name == "" {
			continue
		}
		k := slices.Index(kindNames[:], name)
		if k < 0 {
			return nil, &OptionsError{"no kind is named " + strconv.Quote(name)}
		}
		kinds = append(kinds, Kind(k))
	}
	return kinds, nil
}

// Nodes returns the number of nodes.
func (s Shape) Nodes() int { return s.Keyed + s.Plain }

const (
	// One in seriesOneIn steps is followed by others of its kind on the next
	// nodes.
	seriesOneIn = 4
	// maxSeriesSteps bounds the steps of a series, and seriesGap is the time
	// between their starts.
	maxSeriesSteps = 3
	seriesGap      = 300 * time.Millisecond
	// minDuration and maxDuration bound the duration of a disturbance. The
	// maximum is longer than a lease, so that leases expire.
	minDuration = 300 * time.Millisecond
	maxDuration = 5 * time.Second
)

// Plan returns the steps for a seed in the order of their times. The same seed
// and shape give the same steps.
func Plan(seed uint64, shape Shape) []Step {
	rng := rand.New(rand.NewPCG(seed, seed^0x6d61726a))
	if shape.Overlap {
		return planBursts(rng, shape)
	}
	kinds := shape.allowedKinds()
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(shape.Gap))
		if at >= shape.Trouble {
			break
		}
		kind, node := kinds[rng.IntN(len(kinds))], rng.IntN(shape.Nodes())
		count := 1
		if rng.IntN(seriesOneIn) == 0 {
			count = 1 + rng.IntN(maxSeriesSteps)
		}
		for i := range count {
			duration := minDuration + time.Duration(rng.Float64()*rng.Float64()*float64(maxDuration-minDuration))
			steps = append(steps, Step{
				At: at + time.Duration(i)*seriesGap, Duration: duration, Kind: kind, Node: (node + i) % shape.Nodes(), Variant: rng.IntN(1 << 16),
			})
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

const (
	// burstNodesOneIn sets how many nodes a burst stops at most: one in
	// burstNodesOneIn.
	burstNodesOneIn = 4
	// burstSpread is the time within which the steps of a burst start.
	burstSpread = 1500 * time.Millisecond
	// One in repeatOneIn stopped nodes gets a second SIGTERM, within
	// gracePeriod after the first.
	repeatOneIn = 2
	// maxBurstConfigs bounds the configurations that one burst publishes.
	maxBurstConfigs = 3
)

// planBursts returns the steps of an Overlap shape. In each burst some nodes are
// stopped, some of them repeatedly, as many others are reloaded, backend servers
// leave, and configurations are published.
func planBursts(rng *rand.Rand, shape Shape) []Step {
	var steps []Step
	add := func(kind Kind, at time.Duration, node int) {
		steps = append(steps, Step{At: at, Kind: kind, Node: node})
	}
	for at := time.Duration(0); at < shape.Trouble; at += time.Duration((0.5 + rng.Float64()) * float64(shape.Gap)) {
		within := func(d time.Duration) time.Duration { return at + time.Duration(rng.Int64N(int64(d))) }
		order := rng.Perm(shape.Nodes())
		stopped := 1 + rng.IntN(max(1, shape.Nodes()/burstNodesOneIn))
		for i, node := range order {
			switch {
			case i < stopped:
				add(Restart, within(burstSpread), node)
				if rng.IntN(repeatOneIn) == 0 {
					add(Restart, within(gracePeriod), node)
				}
			case i < 2*stopped:
				add(Reload, within(burstSpread), node)
			}
		}
		add(Leave, within(burstSpread), order[rng.IntN(len(order))])
		for range 1 + rng.IntN(maxBurstConfigs) {
			add(Configure, within(burstSpread), order[0])
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
