package burn

import (
	"time"

	"marjoramshore.example/clock"
)

// Counts are requests by result.
type Counts struct {
	Total uint64 `json:"total"`
	// Failed counts requests without a proper answer.
	Failed uint64 `json:"failed"`
	// Slow counts answered requests that took longer than the objective.
	Slow uint64 `json:"slow"`
}

func (c *Counts) add(o Counts) {
	c.Total += o.Total
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// Rate returns the burn rate of counts under an objective: 1 uses the budget
// up in exactly one Period.
func Rate(c Counts, o Objective) float64 { return c.burn(o) }

// burn returns the larger of the burn rates of availability and latency.
func (c Counts) burn(o Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	unavailable, slow := o.budget()
	n := float64(c.Total)
	return max(float64(c.Failed)/n/unavailable, float64(c.Slow)/n/slow)
}

// series counts requests in fixed buckets: 30 of 10 s for the window of 5
// minutes, and 72 of 5 minutes for the longer ones. A window covers the
// current bucket and those before it, so that it reaches up to one bucket
// less far back than its name. It takes 2.5 KB.
type series struct {
	fine   ring[[fineCount]Counts]
	coarse ring[[coarseCount]Counts]
}

const (
	fineStep, fineCount     = 10 * time.Second, 30
	coarseStep, coarseCount = 5 * time.Minute, 72
)

// ring is a sequence of buckets; last is the number of the newest one.
type ring[B any] struct {
	last    int64
	buckets B
}

func (s *series) add(now clock.Instant, c Counts) {
	i := advance(&s.fine.last, s.fine.buckets[:], now, fineStep)
	s.fine.buckets[i].add(c)
	i = advance(&s.coarse.last, s.coarse.buckets[:], now, coarseStep)
	s.coarse.buckets[i].add(c)
}

// advance clears the buckets between the newest and the one of now, and
// returns the position of the latter. A time before the newest bucket counts
// in the newest.
func advance(last *int64, buckets []Counts, now clock.Instant, step time.Duration) int {
	n := int64(now) / int64(step)
	if n-*last >= int64(len(buckets)) {
		clear(buckets)
		*last = n
	}
	for *last < n {
		*last++
		buckets[*last%int64(len(buckets))] = Counts{}
	}
	return int(*last % int64(len(buckets)))
}

// sum returns the counts within the span before now.
func (s *series) sum(now clock.Instant, span time.Duration) Counts {
	buckets, last, step := s.fine.buckets[:], &s.fine.last, fineStep
	if span > fineStep*fineCount {
		buckets, last, step = s.coarse.buckets[:], &s.coarse.last, coarseStep
	}
	advance(last, buckets, now, step)
	var out Counts
	for k := range int64(span / step) {
		if n := *last - k; n >= 0 {
			out.add(buckets[n%int64(len(buckets))])
		}
	}
	return out
}

// history returns the counts of the coarse buckets, the oldest first.
func (s *series) history(now clock.Instant) []Counts {
	advance(&s.coarse.last, s.coarse.buckets[:], now, coarseStep)
	out := make([]Counts, coarseCount)
	for k := range int64(coarseCount) {
		if n := s.coarse.last - k; n >= 0 {
			out[coarseCount-1-k] = s.coarse.buckets[n%coarseCount]
		}
	}
	return out
}
