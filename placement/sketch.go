package placement

import (
	"math"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// cellCount is the resolution of the load histogram. Sixteen members with
	// equal ranges get 64 cells each, so that a cut is within 1.6% of the load
	// of a range.
	cellCount = 1024
	// counterCount bounds the hashes that are counted one by one. The error of
	// a counter is at most 1/512 of the node's load.
	counterCount = 512
	// HalfLife is the time after which a sample counts half. The resulting
	// average over 7 s shows a change of the hot keys within seconds, while the
	// sampling noise of a node with 600 requests a second stays below 2%.
	HalfLife = 5 * time.Second
	// rescaleHalfLives is the number of half-lives after which weights are
	// scaled down, long before a float64 loses precision.
	rescaleHalfLives = 64
)

// hashCounter is a counter of the space-saving algorithm.
type hashCounter struct {
	hash core.Hash
	// upperBound is the decayed cost counted for the hash. Up to overestimate
	// of it may belong to hashes that the counter held before.
	upperBound, overestimate float64
}

// Sketch measures the load of one node with a histogram over the span of its
// group and with the space-saving algorithm for single hashes. Both decay
// exponentially. Memory is fixed at about 40 KB. It is not safe for concurrent
// use; the goroutine of the balancer owns it.
type Sketch struct {
	span      core.Range
	cellWidth uint64
	// weightTime is the time of a sample whose weight is its cost. Later
	// samples weigh more.
	weightTime  clock.Instant
	totalWeight float64
	histogram   [cellCount]float64
	// heap is a min-heap by upperBound, and heapIndex maps a hash to its
	// position there.
	heap      []hashCounter
	heapIndex map[core.Hash]int
}

// NewSketch returns an empty sketch for a group that owns span.
func NewSketch(span core.Range) *Sketch {
	return &Sketch{span: span, cellWidth: cellWidthOf(span),
		heap: make([]hashCounter, 0, counterCount), heapIndex: make(map[core.Hash]int, counterCount)}
}

// cellWidthOf returns the number of hashes in a histogram cell.
func cellWidthOf(span core.Range) uint64 { return uint64(span.Hi-span.Lo)/cellCount + 1 }

// Record counts work of the given cost on a hash. Hashes outside the span and
// costs that are not positive are ignored.
func (s *Sketch) Record(now clock.Instant, hash core.Hash, cost float64) {
	if !s.span.Contains(hash) || cost <= 0 {
		return
	}
	weight := cost * s.sampleScale(now)
	s.totalWeight += weight
	s.histogram[uint64(hash-s.span.Lo)/s.cellWidth] += weight
	if i, ok := s.heapIndex[hash]; ok {
		s.heap[i].upperBound += weight
		s.siftDown(i)
		return
	}
	if len(s.heap) < counterCount {
		s.heap = append(s.heap, hashCounter{hash: hash, upperBound: weight})
		s.heapIndex[hash] = len(s.heap) - 1
		s.siftUp(len(s.heap) - 1)
		return
	}
	lightest := &s.heap[0]
	delete(s.heapIndex, lightest.hash)
	*lightest = hashCounter{hash: hash, upperBound: lightest.upperBound + weight, overestimate: lightest.upperBound}
	s.heapIndex[hash] = 0
	s.siftDown(0)
}

// sampleScale returns the factor by which a new sample outweighs one at
// weightTime. Scaling samples up instead of all counters down keeps Record
// cheap.
func (s *Sketch) sampleScale(now clock.Instant) float64 {
	age := float64(now.Sub(s.weightTime)) / float64(HalfLife)
	if age > rescaleHalfLives {
		s.scaleWeights(math.Exp2(-age))
		s.weightTime = now
		return 1
	}
	return math.Exp2(age)
}

func (s *Sketch) scaleWeights(factor float64) {
	s.totalWeight *= factor
	for i := range s.histogram {
		s.histogram[i] *= factor
	}
	for i := range s.heap {
		s.heap[i].upperBound *= factor
		s.heap[i].overestimate *= factor
	}
}

// ratePerWeight returns the factor that converts weights to cost per second at
// now.
func (s *Sketch) ratePerWeight(now clock.Instant) float64 {
	age := float64(now.Sub(s.weightTime)) / float64(HalfLife)
	return math.Exp2(-age) * math.Ln2 / HalfLife.Seconds()
}

// TotalRate returns the load of the node in cost per second.
func (s *Sketch) TotalRate(now clock.Instant) float64 { return s.totalWeight * s.ratePerWeight(now) }

func (s *Sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].upperBound <= s.heap[i].upperBound {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if child+1 < len(s.heap) && s.heap[child+1].upperBound < s.heap[child].upperBound {
			child++
		}
		if s.heap[i].upperBound <= s.heap[child].upperBound {
			return
		}
		s.swap(i, child)
		i = child
	}
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heapIndex[s.heap[i].hash], s.heapIndex[s.heap[j].hash] = i, j
}
