package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of disturbance.
type Kind uint8

// Kinds. Those up to and including lastPlanned are planned work, around which
// no request may be cut.
const (
	// Restart stops a process with SIGTERM and starts it again.
	Restart Kind = iota
	// Reload sends SIGHUP.
	Reload
	// Configure adds a route.
	Configure
	// Leave makes a backend server drain and end; another run follows.
	Leave

	// Kill ends a process with SIGKILL and starts it again.
	Kill
	// Pause stops a process with SIGSTOP for a while.
	Pause
	// Crash ends a backend server; another run follows.
	Crash
	// CutIn keeps other nodes from reaching a node.
	CutIn
	// CutBack loses what a node answers to other nodes.
	CutBack
	// Mute loses the beacons of a node.
	Mute
	// ResetIn resets the connections to a node.
	ResetIn
	// SlowIn delays what other nodes send to a node.
	SlowIn
	// CutStore keeps a node from reaching the store.
	CutStore
	// StoreDown fails every call to the store.
	StoreDown
	// StoreSlow delays the answers of the store.
	StoreSlow
	// StoreLost carries out writes without answering.
	StoreLost
	// StoreForget drops the store's history.
	StoreForget
	// StoreDeaf keeps watches from hearing of changes.
	StoreDeaf
	// Misbehave makes a backend server fail requests.
	Misbehave
	kinds
)

const lastPlanned = Leave

var kindNames = [kinds]string{
	"restart", "reload", "configure", "leave", "kill", "pause", "crash", "cut-in", "cut-back", "mute", "reset-in", "slow-in",
	"cut-store", "store-down", "store-slow", "store-lost", "store-forget", "store-deaf", "misbehave",
}

// String returns the name used in reports.
func (k Kind) String() string { return kindNames[k] }

// Planned reports whether the disturbance is planned work.
func (k Kind) Planned() bool { return k <= lastPlanned }

// Step is one disturbance.
type Step struct {
	At, For time.Duration
	Kind    Kind
	// Node is the index of the node that it concerns.
	Node int
	// Variant chooses among forms of the kind.
	Variant int
}

// String describes the step for reports.
func (s Step) String() string {
	return fmt.Sprintf("%.1fs %s node %d for %.1fs", s.At.Seconds(), s.Kind, s.Node, s.For.Seconds())
}

// Shape is the size of a run.
type Shape struct {
	// Keyed and Plain are the numbers of nodes beside backend servers with and
	// without keys.
	Keyed, Plain int
	// Trouble is how long disturbances begin.
	Trouble time.Duration
	// Planned leaves out everything but planned work.
	Planned bool
	// Gap is the mean time between two disturbances.
	Gap time.Duration
}

// Nodes is the number of nodes.
func (s Shape) Nodes() int { return s.Keyed + s.Plain }

const (
	// seriesOdds is one in how many steps that starts a series of its kind.
	seriesOdds = 4
	// seriesLen bounds the steps of a series, and seriesGap parts them.
	seriesLen = 3
	seriesGap = 300 * time.Millisecond
	// shortest and longest bound a disturbance. The longest outlasts a lease.
	shortest = 300 * time.Millisecond
	longest  = 5 * time.Second
)

// Plan draws the steps of a seed. The same seed and shape give the same steps.
func Plan(seed uint64, s Shape) []Step {
	r := rand.New(rand.NewPCG(seed, seed^0x6d61726a))
	last := int(kinds)
	if s.Planned {
		last = int(lastPlanned) + 1
	}
	var out []Step
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(s.Gap))
		if at >= s.Trouble {
			break
		}
		k, node := Kind(r.IntN(last)), r.IntN(s.Nodes())
		n := 1
		if r.IntN(seriesOdds) == 0 {
			n = 1 + r.IntN(seriesLen)
		}
		for i := range n {
			length := shortest + time.Duration(r.Float64()*r.Float64()*float64(longest-shortest))
			out = append(out, Step{
				At: at + time.Duration(i)*seriesGap, For: length, Kind: k, Node: (node + i) % s.Nodes(), Variant: r.IntN(1 << 16),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}
