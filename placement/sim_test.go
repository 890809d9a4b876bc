package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	simKeys = 1_000_000
	simHot  = 69
)

// The world holds what all simulations share. It is built once and only read
// afterwards.
var (
	buildWorld sync.Once
	keyHash    []core.Hash // by name of the key
	sortedHash []core.Hash
	shares     []float64 // by rank at exponent 0.99
	cumulative []float64
	// guide holds the first rank of each of 65,536 equal parts of probability.
	guide []int32
)

const guideParts = 1 << 16

func world() {
	sum := 0.0
	for i := range simKeys {
		keyHash = append(keyHash, core.HashKey(fmt.Sprintf("key-%d", i)))
		shares = append(shares, math.Pow(float64(i+1), -0.99))
		sum += shares[i]
		cumulative = append(cumulative, sum)
	}
	for i := range simKeys {
		shares[i] /= sum
		cumulative[i] /= sum
	}
	for i := range guideParts + 1 {
		rank, _ := slices.BinarySearch(cumulative, float64(i)/guideParts)
		guide = append(guide, int32(min(rank, simKeys-1)))
	}
	sortedHash = slices.Sorted(slices.Values(keyHash))
}

func drawRank(rng *rand.Rand) int {
	u := rng.Float64()
	i := int(u * guideParts)
	lo, hi := int(guide[i]), int(guide[i+1])
	for lo < hi {
		if mid := (lo + hi) / 2; cumulative[mid] < u {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// sim drives one group in virtual time: every owner records its requests and
// exports every 5 s, the coordinator plans every second, and a move takes 1 s.
type sim struct {
	rng      *rand.Rand
	now      clock.Instant
	table    *core.Table
	sketches []*Sketch
	loads    *LoadAggregator
	planner  *Planner
	perSec   int
	// key is the key at each rank.
	key     []int
	pending []Move
	// keysMoved and spaceMoved count every move, also of a range that moved
	// before.
	keysMoved  int
	spaceMoved float64
	maxExport  int
	maxMoves   int
}

func newSim(seed uint64, owners, perSec int) *sim {
	buildWorld.Do(world)
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), loads: NewLoadAggregator(core.FullRange), planner: NewPlanner(DefaultConfig()),
		perSec: perSec, table: evenTable(owners), key: make([]int, simKeys)}
	for range owners {
		s.sketches = append(s.sketches, NewSketch(core.FullRange))
	}
	for i := range s.key {
		s.key[i] = i
	}
	s.rng.Shuffle(simKeys, func(i, j int) { s.key[i], s.key[j] = s.key[j], s.key[i] })
	return s
}

// evenTable is the simple baseline: an even division that never moves.
func evenTable(owners int) *core.Table {
	t := &core.Table{Version: core.Token{Term: 1}}
	step := ^core.Hash(0)/core.Hash(owners) + 1
	for i := range owners {
		t.Members = append(t.Members, core.Member{Node: core.NodeID(fmt.Sprintf("n%02d", i)), Incarnation: 1})
		lo := core.Hash(i) * step
		t.Entries = append(t.Entries, core.Entry{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Owner: i})
	}
	t.Entries[owners-1].Range.Hi = core.FullRange.Hi
	return t
}

// changeHot gives the hottest ranks to keys that were cold.
func (s *sim) changeHot() {
	for i := range simHot {
		j := simHot + s.rng.IntN(simKeys-simHot)
		s.key[i], s.key[j] = s.key[j], s.key[i]
	}
}

// settle lets the first assignment converge under exact loads and without the
// churn budget, which would take minutes, and then puts the default limits in
// force.
func (s *sim) settle() {
	cfg := DefaultConfig()
	cfg.Churn, cfg.MaxMoves, cfg.MaxIncoming, cfg.Cooldown = 1, 64, 4, time.Second
	cfg.Hold, cfg.RangeHold = 5*time.Second, 10*time.Second
	s.planner = NewPlanner(cfg)
	tail := s.tailCells()
	for range 24 {
		s.now = s.now.Add(5 * time.Second)
		s.prime(tail)
		s.export(func(int) bool { return true })
		s.plan()
	}
	s.finishMoves()
	s.prime(tail)
	s.planner = NewPlanner(DefaultConfig())
}

// primeRanks is the number of ranks that prime counts one by one.
const primeRanks = 2048

// prime sets the sketches to what they expect after a long time under the
// present table and distribution. All other ranks go into the histogram only,
// evenly inside a cell.
func (s *sim) prime(tail *[cellCount]float64) {
	for o := range s.sketches {
		s.sketches[o] = NewSketch(core.FullRange)
		s.sketches[o].base = s.now
	}
	whole := float64(s.perSec) * HalfLife.Seconds() / math.Ln2
	for rank, k := range s.key[:primeRanks] {
		e, _ := s.table.Find(keyHash[k])
		s.sketches[e.Owner].Record(s.now, keyHash[k], shares[rank]*whole)
	}
	for _, e := range s.table.Entries {
		sk := s.sketches[e.Owner]
		for c := uint64(e.Range.Lo) / sk.step; c <= uint64(e.Range.Hi)/sk.step; c++ {
			lo, hi := max(uint64(e.Range.Lo), c*sk.step), min(uint64(e.Range.Hi), c*sk.step+sk.step-1)
			w := tail[c] * whole * float64(hi-lo) / float64(sk.step)
			sk.cells[c] += w
			sk.total += w
		}
	}
}

// tailCells returns the share of the ranks from primeRanks on in each cell.
func (s *sim) tailCells() *[cellCount]float64 {
	out := new([cellCount]float64)
	for rank, k := range s.key[primeRanks:] {
		out[uint64(keyHash[k])>>54] += shares[primeRanks+rank]
	}
	return out
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.second()
	}
}

func (s *sim) second() {
	for i := range s.perSec {
		h := keyHash[s.key[drawRank(s.rng)]]
		e, _ := s.table.Find(h)
		s.sketches[e.Owner].Record(s.now.Add(time.Duration(i)*time.Second/time.Duration(s.perSec)), h, 1)
	}
	s.now = s.now.Add(time.Second)
	s.export(func(o int) bool { return (int(s.now/clock.Instant(time.Second))+o)%5 == 0 })
	s.plan()
}

func (s *sim) export(due func(owner int) bool) {
	for o, m := range s.table.Members {
		if due(o) {
			b := s.sketches[o].Export(s.now)
			s.maxExport = max(s.maxExport, len(b))
			if err := s.loads.ReplaceExport(s.now, m.Node, b); err != nil {
				panic(err)
			}
		}
	}
}

func (s *sim) plan() {
	s.finishMoves()
	plan := s.planner.Plan(s.now, s.table, s.loads, nil)
	s.table = &core.Table{Members: s.table.Members, Entries: plan.Divide(s.table), Version: core.Token{Term: 1, Sequence: uint64(s.now)}}
	if err := s.table.Validate(); err != nil {
		panic(err)
	}
	s.pending = plan.Moves
	s.maxMoves = max(s.maxMoves, len(plan.Moves))
}

func (s *sim) finishMoves() {
	for _, m := range s.pending {
		i := slices.IndexFunc(s.table.Entries, func(e core.Entry) bool { return e.Range == m.Range })
		if i < 0 || s.table.Entries[i].Owner != m.From {
			panic(fmt.Sprintf("move of a range that the table does not hold: %+v", m))
		}
		s.table.Entries[i].Owner = m.To
		s.keysMoved += keysIn(m.Range)
		s.spaceMoved += m.Range.Width()
	}
	s.pending = nil
}

func keysIn(r core.Range) int {
	lo, _ := slices.BinarySearch(sortedHash, r.Lo)
	hi, found := slices.BinarySearch(sortedHash, r.Hi)
	if found {
		hi++
	}
	return hi - lo
}

// ownerState is the true load of one owner and the shares of its keys, the
// greatest first. Only the keys of the first ranks are listed one by one.
type ownerState struct {
	load float64
	keys []float64
}

// truth computes the exact shares from the distribution, without sampling.
func (s *sim) truth(t *core.Table) []ownerState {
	out := make([]ownerState, len(t.Members))
	for rank, k := range s.key {
		e, _ := t.Find(keyHash[k])
		o := &out[e.Owner]
		o.load += shares[rank]
		o.keys = append(o.keys, shares[rank])
	}
	return out
}

func imbalanceOf(owners []ownerState) float64 {
	worst := 0.0
	for _, o := range owners {
		worst = max(worst, o.load*float64(len(owners)))
	}
	return worst
}

// leastMoves is a lower bound of the keys that must change owner until each
// owner is within 1.2 times the mean, or holds a single key that alone exceeds
// it. The largest keys of which no two fit one owner (at least the largest key)
// each need a host that sheds its other keys, hottest first, until the key
// fits; every other owner sheds its hottest keys until it is within the bound.
// The hosts are chosen for the least sum. Where all other keys go is ignored,
// so no plan moves fewer.
func leastMoves(owners []ownerState) int {
	bound := 1.2 / float64(len(owners))
	large := 1
	for shares[large-1]+shares[large] > bound {
		large++
	}
	cost := make([]int, 1<<large) // by set of large keys that have a host
	for i := range cost {
		cost[i] = math.MaxInt / 2
	}
	cost[0] = 0
	for _, o := range owners {
		next := make([]int, len(cost))
		none := o.shed(-1, large, bound)
		for set := range cost {
			next[set] = cost[set] + none
		}
		for rank := range large {
			with := o.shed(rank, large, bound)
			for set := range cost {
				if set&(1<<rank) != 0 {
					next[set] = min(next[set], cost[set&^(1<<rank)]+with)
				}
			}
		}
		cost = next
	}
	return cost[len(cost)-1]
}

// shed returns how many keys must leave the owner when it hosts the large key
// of the given rank, or none for -1.
func (o ownerState) shed(rank, large int, bound float64) int {
	rest, n := 0.0, 0
	if rank >= 0 {
		bound -= shares[rank]
	}
	for _, k := range o.keys {
		rest += k
	}
	for _, k := range o.keys {
		if rank >= 0 && k == shares[rank] {
			rest -= k
			continue
		}
		if k >= shares[large-1] || rest > bound && (bound > 0 || rest > 0) {
			rest -= k
			n++
		}
	}
	return n
}
