package burn

import (
	"time"

	"marjoramshore.example/clock"
)

// Counts holds numbers of requests by result.
type Counts struct {
	Total uint64 `json:"total"`
	// Failed counts requests that got no proper answer.
	Failed uint64 `json:"failed"`
	// Slow counts answered requests that took longer than the latency objective.
	Slow uint64 `json:"slow"`
}

func (c *Counts) add(o Counts) {
	c.Total += o.Total
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// BurnRate returns the burn rate of counts under an objective. A rate of 1 uses
// the budget up in exactly one Period.
func BurnRate(c Counts, o Objective) float64 { return c.burnRate(o) }

// burnRate returns the greater of the burn rates of availability and latency.
func (c Counts) burnRate(o Objective) float64 {
	if c.Total == 0 {
		return 0
	}
	unavailable, slow := o.budget()
	n := float64(c.Total)
	return max(float64(c.Failed)/n/unavailable, float64(c.Slow)/n/slow)
}

// windowedCounts counts requests in fixed buckets: 30 of 10 s for the window of
// 5 minutes, and 72 of 5 minutes for the longer ones. A window covers the
// current bucket and those before it, so it is shorter than its nominal span by
// up to one bucket. A windowedCounts takes 2.5 KB.
type windowedCounts struct {
	fine   bucketRing[[fineCount]Counts]
	coarse bucketRing[[coarseCount]Counts]
}

const (
	fineStep, fineCount     = 10 * time.Second, 30
	coarseStep, coarseCount = 5 * time.Minute, 72
)

// bucketRing is a ring buffer of buckets. Buckets are numbered from instant 0,
// and newest is the number of the newest one.
type bucketRing[B any] struct {
	newest  int64
	buckets B
}

func (s *windowedCounts) add(now clock.Instant, c Counts) {
	i := advanceTo(&s.fine.newest, s.fine.buckets[:], now, fineStep)
	s.fine.buckets[i].add(c)
	i = advanceTo(&s.coarse.newest, s.coarse.buckets[:], now, coarseStep)
	s.coarse.buckets[i].add(c)
}

// advanceTo makes the bucket of now the newest, clears those in between, and
// returns its index in buckets. If now is before the newest bucket, that bucket
// stays the newest and its index is returned.
func advanceTo(newest *int64, buckets []Counts, now clock.Instant, step time.Duration) int {
	bucket := int64(now) / int64(step)
	if bucket-*newest >= int64(len(buckets)) {
		clear(buckets)
		*newest = bucket
	}
	for *newest < bucket {
		*newest++
		buckets[*newest%int64(len(buckets))] = Counts{}
	}
	return int(*newest % int64(len(buckets)))
}

// sum returns the counts of the window of length span that ends at now.
func (s *windowedCounts) sum(now clock.Instant, span time.Duration) Counts {
	buckets, newest, step := s.fine.buckets[:], &s.fine.newest, fineStep
	if span > fineStep*fineCount {
		buckets, newest, step = s.coarse.buckets[:], &s.coarse.newest, coarseStep
	}
	advanceTo(newest, buckets, now, step)
	var out Counts
	for k := range int64(span / step) {
		if n := *newest - k; n >= 0 {
			out.add(buckets[n%int64(len(buckets))])
		}
	}
	return out
}

// history returns the counts of the coarse buckets, oldest first.
func (s *windowedCounts) history(now clock.Instant) []Counts {
	advanceTo(&s.coarse.newest, s.coarse.buckets[:], now, coarseStep)
	out := make([]Counts, coarseCount)
	for k := range int64(coarseCount) {
		if n := s.coarse.newest - k; n >= 0 {
			out[coarseCount-1-k] = s.coarse.buckets[n%coarseCount]
		}
	}
	return out
}
