package placement

import (
	"math"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// cellCount is the resolution of the load histogram. Sixteen members with
	// equal ranges get 64 cells each, which places a cut within 1.6% of the
	// load of a range.
	cellCount = 1024
	// counterCount bounds the heavy hitters. The error of a counter is at most
	// 1/512 of the node's load.
	counterCount = 512
	// HalfLife is the time after which a sample counts half. It averages over
	// 7 s, so that a change of the hot keys shows within seconds, while the
	// sampling noise of a node with 600 requests a second stays below 2%.
	HalfLife = 5 * time.Second
	// rescaleAfter is the number of half-lives after which weights are scaled
	// down, long before a float64 loses precision.
	rescaleAfter = 64
)

type counter struct {
	hash core.Hash
	// weight is the decayed cost counted for the hash, of which excess may
	// belong to hashes that the counter held before.
	weight, excess float64
}

// Sketch measures the load that one node sees: a histogram over the span of
// its group, and the space-saving algorithm over single hashes. Both decay
// exponentially. Memory is fixed at about 40 KB. It is not safe for concurrent
// use; the placement duty owns it.
type Sketch struct {
	span  core.Range
	step  uint64
	base  clock.Instant
	total float64
	cells [cellCount]float64
	// heap is ordered by weight with the smallest first; at maps a hash to its
	// position.
	heap []counter
	at   map[core.Hash]int
}

// NewSketch returns an empty sketch for a group that holds span.
func NewSketch(span core.Range) *Sketch {
	return &Sketch{span: span, step: cellStep(span),
		heap: make([]counter, 0, counterCount), at: make(map[core.Hash]int, counterCount)}
}

// cellStep returns the number of hashes in a cell.
func cellStep(span core.Range) uint64 { return uint64(span.Hi-span.Lo)/cellCount + 1 }

// Record counts work of the given cost on hash at instant now. Hashes outside
// the span are not counted.
func (s *Sketch) Record(now clock.Instant, hash core.Hash, cost float64) {
	if !s.span.Contains(hash) || cost <= 0 {
		return
	}
	w := cost * s.growth(now)
	s.total += w
	s.cells[uint64(hash-s.span.Lo)/s.step] += w
	if i, ok := s.at[hash]; ok {
		s.heap[i].weight += w
		s.down(i)
		return
	}
	if len(s.heap) < counterCount {
		s.heap = append(s.heap, counter{hash: hash, weight: w})
		s.at[hash] = len(s.heap) - 1
		s.up(len(s.heap) - 1)
		return
	}
	least := &s.heap[0]
	delete(s.at, least.hash)
	*least = counter{hash: hash, weight: least.weight + w, excess: least.weight}
	s.at[hash] = 0
	s.down(0)
}

// growth returns the factor that makes new samples outweigh older ones. Scaling
// samples up instead of all counters down keeps Record cheap.
func (s *Sketch) growth(now clock.Instant) float64 {
	age := float64(now.Sub(s.base)) / float64(HalfLife)
	if age > rescaleAfter {
		s.scale(math.Exp2(-age))
		s.base = now
		return 1
	}
	return math.Exp2(age)
}

func (s *Sketch) scale(f float64) {
	s.total *= f
	for i := range s.cells {
		s.cells[i] *= f
	}
	for i := range s.heap {
		s.heap[i].weight *= f
		s.heap[i].excess *= f
	}
}

// rate returns the factor from weights to cost per second at instant now.
func (s *Sketch) rate(now clock.Instant) float64 {
	age := float64(now.Sub(s.base)) / float64(HalfLife)
	return math.Exp2(-age) * math.Ln2 / HalfLife.Seconds()
}

// Rate returns the load of the whole node at instant now.
func (s *Sketch) Rate(now clock.Instant) float64 { return s.total * s.rate(now) }

func (s *Sketch) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].weight <= s.heap[i].weight {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if child+1 < len(s.heap) && s.heap[child+1].weight < s.heap[child].weight {
			child++
		}
		if s.heap[i].weight <= s.heap[child].weight {
			return
		}
		s.swap(i, child)
		i = child
	}
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.at[s.heap[i].hash], s.at[s.heap[j].hash] = i, j
}
