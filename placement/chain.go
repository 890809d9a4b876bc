package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

const (
	// maxChain bounds the moves that one solution may need.
	maxChain = 8
	// chainHashes and chainHosts bound the search for a member at which to
	// make room, which keeps a plan for 64 members within milliseconds.
	chainHashes, chainHosts = 4, 8
)

// step is the move of a single hash that a solution proposes.
type step struct {
	hash     Hitter
	from, to int
}

// solution is a tentative set of moves of single hashes that relieve one
// member. It works on copies of the loads, so that a set which does not
// suffice leaves nothing behind.
type solution struct {
	r        *run
	limit    float64 // greatest ratio of a receiver
	load     []float64
	incoming []int
	steps    []step
}

// solve returns the fewest moves of single hashes that bring o to High or
// below, or false when no combination was found. Moves that first make room
// at the receiver are tried as well, and receivers are filled beyond Target
// only when that saves moves.
func (r *run) solve(o int) ([]step, bool) {
	var best []step
	found := false
	for _, limit := range []float64{r.cfg.Target, (r.cfg.Target + r.cfg.High) / 2, r.cfg.High - leastGain/2} {
		for _, chains := range []bool{false, true} {
			s := r.attempt(o, limit, chains)
			if s.ratio(o) <= r.cfg.High && (!found || len(s.steps) < len(best)) {
				best, found = s.steps, true
			}
		}
	}
	return best, found
}

func (r *run) attempt(o int, limit float64, chains bool) *solution {
	s := &solution{r: r, limit: limit, load: slices.Clone(r.load), incoming: slices.Clone(r.incoming)}
	s.load[o] -= r.giant[o]
	for s.ratio(o) > r.cfg.Target && len(s.steps) < maxChain {
		if chains && s.chain(o) || s.direct(o, 0) {
			continue
		}
		break
	}
	return s
}

func (s *solution) ratio(o int) float64 { return s.load[o] / s.r.share[o] }

// candidates returns the hashes of o that may still move, in order of
// preference: the lightest that covers the excess, heavier ones, then the
// lighter ones from the heaviest down.
func (s *solution) candidates(o int, excess float64) []Hitter {
	hot := s.r.hotHashes(o)
	enough := slices.IndexFunc(hot, func(h Hitter) bool { return h.Rate >= excess })
	if enough < 0 {
		enough = len(hot)
	}
	order := make([]Hitter, 0, len(hot))
	order = append(order, hot[enough:]...)
	for i := enough - 1; i >= 0; i-- {
		order = append(order, hot[i])
	}
	return slices.DeleteFunc(order, func(h Hitter) bool {
		return slices.ContainsFunc(s.steps, func(x step) bool { return x.hash.Hash == h.Hash })
	})
}

// direct moves one hash of o to the fullest member that has room. With a need
// above zero only that much must leave; otherwise o is brought to Target.
func (s *solution) direct(o int, need float64, except ...int) bool {
	if need == 0 {
		need = s.load[o] - s.r.cfg.Target*s.r.share[o]
	}
	for _, h := range s.candidates(o, need) {
		if to, ok := s.fit(h.Rate, append(except, o)); ok && s.r.worthwhile(h.Rate, need) {
			s.take(h, o, to)
			return true
		}
	}
	return false
}

// chain moves a hash that covers the excess of o, or else its heaviest, to the
// member which has to give away the fewest hashes of its own to make room.
func (s *solution) chain(o int) bool {
	excess := s.load[o] - s.r.cfg.Target*s.r.share[o]
	var best *solution
	hosts := s.lightest(o)
	for n, h := range s.candidates(o, excess) {
		if n == chainHashes || n > 0 && h.Rate < excess {
			break
		}
		for _, to := range hosts {
			if c := s.makeRoom(o, to, h); c != nil && (best == nil || len(c.steps) < len(best.steps)) {
				best = c
			}
		}
	}
	if best == nil {
		return false
	}
	*s = *best
	return true
}

// lightest returns the members with the lowest ratio that may receive a hash.
func (s *solution) lightest(except int) []int {
	var out []int
	for o := range s.load {
		if o != except && s.open(o) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(s.ratio(a), s.ratio(b)) })
	return out[:min(len(out), chainHosts)]
}

func (s *solution) open(o int) bool {
	return s.r.takes(o, s.r.cfg.MaxIncoming) && s.incoming[o] < s.r.cfg.MaxIncoming
}

// makeRoom returns s with h moved from o to another member and the moves that
// make room for it, or nil.
func (s *solution) makeRoom(o, to int, h Hitter) *solution {
	c := &solution{r: s.r, limit: s.limit, load: slices.Clone(s.load),
		incoming: slices.Clone(s.incoming), steps: slices.Clone(s.steps)}
	for {
		need := c.load[to] + h.Rate - c.limit*c.r.share[to]
		if need <= 0 {
			c.take(h, o, to)
			return c
		}
		if len(c.steps) >= maxChain || !c.direct(to, need, o) {
			return nil
		}
	}
}

func (s *solution) take(h Hitter, from, to int) {
	s.steps = append(s.steps, step{hash: h, from: from, to: to})
	s.load[from] -= h.Rate
	s.load[to] += h.Rate
	s.incoming[to]++
}

// fit returns the fullest member that stays within the limit with the load.
// Filling tight gaps first keeps the room of lightly loaded members for hashes
// that fit nowhere else.
func (s *solution) fit(load float64, except []int) (int, bool) {
	best := -1
	for o := range s.load {
		if slices.Contains(except, o) || !s.open(o) || s.load[o]+load > s.limit*s.r.share[o] {
			continue
		}
		if best < 0 || s.ratio(o) > s.ratio(best) {
			best = o
		}
	}
	return best, best >= 0
}

// commit starts the steps that the number of running moves allows and queues
// the rest: the first steps of a chain help nobody without the last.
func (r *run) commit(steps []step) {
	for i, s := range steps {
		if !r.allowed(0) {
			r.queue = steps[i:]
			return
		}
		one := core.Range{Lo: s.hash.Hash, Hi: s.hash.Hash}
		r.move(r.carve(r.find(s.hash.Hash), one), s.to, ReasonOverload)
	}
}

// resume continues a queued solution. It drops it when the table or the loads
// no longer suit.
func (r *run) resume() {
	steps := r.queue
	r.queue = nil
	s := solution{r: r, load: slices.Clone(r.load), incoming: make([]int, len(r.load))}
	for _, x := range steps {
		i := r.find(x.hash.Hash)
		s.take(x.hash, x.from, x.to)
		if i < 0 || r.segs[i].owner != x.from || r.segs[i].busy || !r.takes(x.to, r.cfg.MaxIncoming+1) || s.ratio(x.to) > r.cfg.High {
			return
		}
	}
	r.commit(steps)
}
