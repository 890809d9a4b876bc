package placement

import (
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// merges joins adjacent idle segments of one owner and returns the joins that
// span more than one entry. An isolated hash takes part only once it has been
// cold for ColdAfter; one hash at a time then also returns to the owner of its
// neighbours.
func (r *run) merges() []Merge {
	r.chill()
	r.returnCold()
	var out []Merge
	for i := 0; i < len(r.segs); i++ {
		j := i
		for j+1 < len(r.segs) && r.joins(j, j+1) {
			j++
		}
		if j > i && !r.cut(i, j) {
			out = append(out, Merge{Range: core.Range{Lo: r.segs[i].r.Lo, Hi: r.segs[j].r.Hi}})
		}
		i = j
	}
	return out
}

// chill updates since when isolated hashes are cold.
func (r *run) chill() {
	cold := map[core.Hash]clock.Instant{}
	for _, s := range r.segs {
		if s.r.Lo != s.r.Hi || s.owner == core.NoOwner || s.load >= r.cfg.ColdShare*r.share[s.owner] && r.share[s.owner] > 0 {
			continue
		}
		since, was := r.Planner.cold[s.r.Lo]
		if !was {
			since = r.now
		}
		cold[s.r.Lo] = since
	}
	r.Planner.cold = cold
}

// ripe reports whether a segment may lose its own entry.
func (r *run) ripe(s seg) bool {
	if s.busy {
		return false
	}
	if s.r.Lo != s.r.Hi {
		return true
	}
	since, ok := r.Planner.cold[s.r.Lo]
	crowded := len(r.segs)*2 > r.cfg.MaxEntries*len(r.table.Members)
	return ok && (crowded || r.now.Sub(since) >= r.cfg.ColdAfter)
}

// joins reports whether two neighbouring segments can become one entry.
func (r *run) joins(i, j int) bool {
	a, b := r.segs[i], r.segs[j]
	return a.owner == b.owner && a.owner != core.NoOwner && a.r.Hi+1 == b.r.Lo && r.ripe(a) && r.ripe(b)
}

// cut reports whether this plan split an entry at the edge of or inside the
// segments from i to j. Merging those would undo the split.
func (r *run) cut(i, j int) bool {
	for k := i; k <= j; k++ {
		if r.segs[k].r != r.table.Entries[r.segs[k].entry].Range {
			return true
		}
	}
	return false
}

// returnCold moves one cold isolated hash to the owner of a neighbour.
func (r *run) returnCold() {
	for i, s := range r.segs {
		if s.r.Lo != s.r.Hi || !r.ripe(s) || r.slots <= 0 || r.resting(s.r) {
			continue
		}
		for _, n := range []int{i - 1, i + 1} {
			if n < 0 || n >= len(r.segs) || r.segs[n].busy || r.segs[n].r.Lo == r.segs[n].r.Hi {
				continue
			}
			to := r.segs[n].owner
			if to != core.NoOwner && to != s.owner && r.takes(to, r.cfg.MaxIncoming) {
				r.move(i, to, ReasonReturn)
				return
			}
		}
	}
}
