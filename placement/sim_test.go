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
	keyCount       = 1_000_000
	changedHotKeys = 69
)

// These are shared by all simulations. They are built once and only read
// afterwards.
var (
	sharedDataOnce   sync.Once
	keyHashes        []core.Hash // by number of the key
	sortedHashes     []core.Hash
	rankShares       []float64 // by rank, in a Zipf distribution with exponent 0.99
	cumulativeShares []float64
	// firstRanks holds the first rank of each of 65,536 equal parts of the
	// cumulative probability.
	firstRanks []int32
)

const firstRankParts = 1 << 16

func buildSharedData() {
	total := 0.0
	for i := range keyCount {
		keyHashes = append(keyHashes, core.HashKey(fmt.Sprintf("key-%d", i)))
		rankShares = append(rankShares, math.Pow(float64(i+1), -0.99))
		total += rankShares[i]
		cumulativeShares = append(cumulativeShares, total)
	}
	for i := range keyCount {
		rankShares[i] /= total
		cumulativeShares[i] /= total
	}
	for i := range firstRankParts + 1 {
		rank, _ := slices.BinarySearch(cumulativeShares, float64(i)/firstRankParts)
		firstRanks = append(firstRanks, int32(min(rank, keyCount-1)))
	}
	sortedHashes = slices.Sorted(slices.Values(keyHashes))
}

// drawRank draws a rank from the Zipf distribution with exponent 0.99.
func drawRank(rng *rand.Rand) int {
	probability := rng.Float64()
	part := int(probability * firstRankParts)
	lo, hi := int(firstRanks[part]), int(firstRanks[part+1])
	for lo < hi {
		if mid := (lo + hi) / 2; cumulativeShares[mid] < probability {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// simulation drives one group in virtual time: owners record requests and send
// an export every 5 s, the coordinator plans every second, and moves take 1 s
// each.
type simulation struct {
	rng               *rand.Rand
	now               clock.Instant
	table             *core.Table
	sketches          []*Sketch
	aggregator        *LoadAggregator
	planner           *Planner
	requestsPerSecond int
	// keyAtRank holds the number of the key at each rank.
	keyAtRank    []int
	runningMoves []Move
	// keysMoved and spanMoved count every move, including later moves of the
	// same range.
	keysMoved       int
	spanMoved       float64
	maxExportBytes  int
	maxMovesPerPlan int
}

func newSimulation(seed uint64, owners, requestsPerSecond int) *simulation {
	sharedDataOnce.Do(buildSharedData)
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), aggregator: NewLoadAggregator(core.FullRange), planner: NewPlanner(DefaultConfig()),
		requestsPerSecond: requestsPerSecond, table: evenTable(owners), keyAtRank: make([]int, keyCount)}
	for range owners {
		s.sketches = append(s.sketches, NewSketch(core.FullRange))
	}
	for i := range s.keyAtRank {
		s.keyAtRank[i] = i
	}
	s.rng.Shuffle(keyCount, func(i, j int) { s.keyAtRank[i], s.keyAtRank[j] = s.keyAtRank[j], s.keyAtRank[i] })
	return s
}

// evenTable returns a table that divides the hash space evenly between the
// owners. Left as it is, it is the baseline of the hot key test.
func evenTable(owners int) *core.Table {
	t := &core.Table{Version: core.Token{Term: 1}}
	width := ^core.Hash(0)/core.Hash(owners) + 1
	for i := range owners {
		t.Members = append(t.Members, core.Member{Node: core.NodeID(fmt.Sprintf("n%02d", i)), Incarnation: 1})
		lo := core.Hash(i) * width
		t.Entries = append(t.Entries, core.Entry{Range: core.Range{Lo: lo, Hi: lo + width - 1}, Owner: i})
	}
	t.Entries[owners-1].Range.Hi = core.FullRange.Hi
	return t
}

// replaceHotKeys exchanges the keys at the hottest ranks with randomly chosen
// cold ones.
func (s *simulation) replaceHotKeys() {
	for i := range changedHotKeys {
		j := changedHotKeys + s.rng.IntN(keyCount-changedHotKeys)
		s.keyAtRank[i], s.keyAtRank[j] = s.keyAtRank[j], s.keyAtRank[i]
	}
}

// convergeInitialAssignment lets the first assignment converge under exact
// loads and then sets the default limits. It runs without the churn budget,
// under which that would take minutes.
func (s *simulation) convergeInitialAssignment() {
	cfg := DefaultConfig()
	cfg.ChurnBudget, cfg.MaxBalanceMoves, cfg.MaxIncomingMoves, cfg.Cooldown = 1, 64, 4, time.Second
	cfg.OverloadDelay, cfg.RangeMoveDelay = 5*time.Second, 10*time.Second
	s.planner = NewPlanner(cfg)
	tail := s.tailHistogram()
	for range 24 {
		s.now = s.now.Add(5 * time.Second)
		s.setSteadyState(tail)
		s.sendExports(func(int) bool { return true })
		s.planOnce()
	}
	s.applyRunningMoves()
	s.setSteadyState(tail)
	s.planner = NewPlanner(DefaultConfig())
}

// exactRanks is the number of ranks that setSteadyState counts one by one.
const exactRanks = 2048

// setSteadyState sets the sketches to the values they approach under the
// present table and distribution. Ranks from exactRanks on go into the
// histogram only, evenly spread inside a cell.
func (s *simulation) setSteadyState(tail *[cellCount]float64) {
	for owner := range s.sketches {
		s.sketches[owner] = NewSketch(core.FullRange)
		s.sketches[owner].weightTime = s.now
	}
	steadyWeight := float64(s.requestsPerSecond) * HalfLife.Seconds() / math.Ln2
	for rank, key := range s.keyAtRank[:exactRanks] {
		e, _ := s.table.Find(keyHashes[key])
		s.sketches[e.Owner].Record(s.now, keyHashes[key], rankShares[rank]*steadyWeight)
	}
	for _, e := range s.table.Entries {
		sketch := s.sketches[e.Owner]
		for cell := uint64(e.Range.Lo) / sketch.cellWidth; cell <= uint64(e.Range.Hi)/sketch.cellWidth; cell++ {
			lo, hi := max(uint64(e.Range.Lo), cell*sketch.cellWidth), min(uint64(e.Range.Hi), cell*sketch.cellWidth+sketch.cellWidth-1)
			weight := tail[cell] * steadyWeight * float64(hi-lo) / float64(sketch.cellWidth)
			sketch.histogram[cell] += weight
			sketch.totalWeight += weight
		}
	}
}

// tailHistogram returns the share of the ranks from exactRanks on in each
// histogram cell.
func (s *simulation) tailHistogram() *[cellCount]float64 {
	out := new([cellCount]float64)
	for rank, key := range s.keyAtRank[exactRanks:] {
		out[uint64(keyHashes[key])>>54] += rankShares[exactRanks+rank]
	}
	return out
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.simulateSecond()
	}
}

func (s *simulation) simulateSecond() {
	for i := range s.requestsPerSecond {
		h := keyHashes[s.keyAtRank[drawRank(s.rng)]]
		e, _ := s.table.Find(h)
		s.sketches[e.Owner].Record(s.now.Add(time.Duration(i)*time.Second/time.Duration(s.requestsPerSecond)), h, 1)
	}
	s.now = s.now.Add(time.Second)
	s.sendExports(func(owner int) bool { return (int(s.now/clock.Instant(time.Second))+owner)%5 == 0 })
	s.planOnce()
}

func (s *simulation) sendExports(due func(owner int) bool) {
	for owner, m := range s.table.Members {
		if due(owner) {
			export := s.sketches[owner].Export(s.now)
			s.maxExportBytes = max(s.maxExportBytes, len(export))
			if err := s.aggregator.ReplaceExport(s.now, m.Node, export); err != nil {
				panic(err)
			}
		}
	}
}

func (s *simulation) planOnce() {
	s.applyRunningMoves()
	plan := s.planner.Plan(s.now, s.table, s.aggregator, nil)
	s.table = &core.Table{Members: s.table.Members, Entries: plan.ApplySplitsAndMerges(s.table), Version: core.Token{Term: 1, Sequence: uint64(s.now)}}
	if err := s.table.Validate(); err != nil {
		panic(err)
	}
	s.runningMoves = plan.Moves
	s.maxMovesPerPlan = max(s.maxMovesPerPlan, len(plan.Moves))
}

func (s *simulation) applyRunningMoves() {
	for _, m := range s.runningMoves {
		i := slices.IndexFunc(s.table.Entries, func(e core.Entry) bool { return e.Range == m.Range })
		if i < 0 || s.table.Entries[i].Owner != m.From {
			panic(fmt.Sprintf("plan moves a range that is not an entry of its owner: %+v", m))
		}
		s.table.Entries[i].Owner = m.To
		s.keysMoved += countKeys(m.Range)
		s.spanMoved += m.Range.Width()
	}
	s.runningMoves = nil
}

// countKeys returns the number of keys with a hash in r.
func countKeys(r core.Range) int {
	lo, _ := slices.BinarySearch(sortedHashes, r.Lo)
	hi, found := slices.BinarySearch(sortedHashes, r.Hi)
	if found {
		hi++
	}
	return hi - lo
}

// ownerState is the exact load of one owner and the shares of its keys, the
// greatest first, both as fractions of the total load.
type ownerState struct {
	load      float64
	keyShares []float64
}

// exactLoads computes the state of each owner from the distribution, without
// sampling.
func (s *simulation) exactLoads(table *core.Table) []ownerState {
	out := make([]ownerState, len(table.Members))
	for rank, key := range s.keyAtRank {
		e, _ := table.Find(keyHashes[key])
		owner := &out[e.Owner]
		owner.load += rankShares[rank]
		owner.keyShares = append(owner.keyShares, rankShares[rank])
	}
	return out
}

// maxLoadRatio returns the greatest load relative to the mean.
func maxLoadRatio(owners []ownerState) float64 {
	greatest := 0.0
	for _, owner := range owners {
		greatest = max(greatest, owner.load*float64(len(owners)))
	}
	return greatest
}

// minKeyMoves returns a lower bound of the keys that must change owner until
// each owner is within 1.2 times the mean, or owns a single key that alone
// exceeds it. Large keys are the largest ones of which no two fit one owner (at
// least the largest key). Each needs a host that gives away its other keys,
// hottest first, until the key fits; every other owner gives away its hottest
// keys until it is within the bound. The hosts are chosen for the least sum.
// Where the other keys go is ignored, so that no plan moves fewer.
func minKeyMoves(owners []ownerState) int {
	bound := 1.2 / float64(len(owners))
	largeKeyCount := 1
	for rankShares[largeKeyCount-1]+rankShares[largeKeyCount] > bound {
		largeKeyCount++
	}
	minMoves := make([]int, 1<<largeKeyCount) // by set of large keys that have a host, as a bit mask
	for i := range minMoves {
		minMoves[i] = math.MaxInt / 2
	}
	minMoves[0] = 0
	for _, owner := range owners {
		next := make([]int, len(minMoves))
		movesWithoutHost := owner.keysToMoveAway(-1, largeKeyCount, bound)
		for hosted := range minMoves {
			next[hosted] = minMoves[hosted] + movesWithoutHost
		}
		for rank := range largeKeyCount {
			moves := owner.keysToMoveAway(rank, largeKeyCount, bound)
			for hosted := range minMoves {
				if hosted&(1<<rank) != 0 {
					next[hosted] = min(next[hosted], minMoves[hosted&^(1<<rank)]+moves)
				}
			}
		}
		minMoves = next
	}
	return minMoves[len(minMoves)-1]
}

// keysToMoveAway returns how many keys must leave the owner when it hosts the
// large key of the given rank, or no large key for rank -1.
func (o ownerState) keysToMoveAway(rank, largeKeyCount int, bound float64) int {
	remaining, count := 0.0, 0
	if rank >= 0 {
		bound -= rankShares[rank]
	}
	for _, share := range o.keyShares {
		remaining += share
	}
	for _, share := range o.keyShares {
		if rank >= 0 && share == rankShares[rank] {
			remaining -= share
			continue
		}
		if share >= rankShares[largeKeyCount-1] || remaining > bound && (bound > 0 || remaining > 0) {
			remaining -= share
			count++
		}
	}
	return count
}
