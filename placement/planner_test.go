package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// checkHotChange settles a group, changes the hottest keys and checks the
// state 60 s later.
func checkHotChange(t *testing.T, seed uint64, owners, perSec int) {
	s := newSim(seed, owners, perSec)
	s.settle()
	settled := s.truth(s.table)
	first := s.keysMoved
	s.changeHot()
	before := s.truth(s.table)
	for imbalanceOf(before) <= 1.2 { // a change that breaks nothing tests nothing
		s.changeHot()
		before = s.truth(s.table)
	}
	least := leastMoves(before)
	s.keysMoved, s.spaceMoved, s.maxMoves = 0, 0, 0
	s.run(60 * time.Second)
	after := s.truth(s.table)
	floor := rankShare(0) * float64(owners)
	t.Logf("owners %d seed %d: imbalance settled %.3f, after change %.3f, 60 s later %.3f (floor %.3f, even division %.3f); "+
		"keys moved %d (least %d, settling %d), key space %.4f%%, entries %d, export %d B",
		owners, seed, imbalanceOf(settled), imbalanceOf(before), imbalanceOf(after), floor, imbalanceOf(s.truth(evenTable(owners))),
		s.keysMoved, least, first, 100*s.spaceMoved, len(s.table.Entries), s.maxExport)
	bound := max(1.2, floor)
	test.LessEq(t, bound+1e-9, imbalanceOf(after))
	for _, o := range after {
		if len(o.keys) > 1 {
			test.LessEq(t, 1.2, o.load*float64(owners))
		}
	}
	test.LessEq(t, 0.05, s.spaceMoved)
	test.LessEq(t, 0.05*simKeys, float64(s.keysMoved))
	test.LessEq(t, 3*least, s.keysMoved)
	test.LessEq(t, DefaultConfig().MaxMoves, s.maxMoves)
	test.LessEq(t, MaxExport, s.maxExport)
}

// Guards against imbalance that stays after the hot keys change, and against
// balance bought with more movement than needed.
func TestHotKeysChange8(t *testing.T) {
	for seed := range uint64(seeds8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); checkHotChange(t, seed, 8, 10_000) })
	}
}

// At 64 owners the three hottest keys each exceed 1.2 times the mean.
func TestHotKeysChange64(t *testing.T) {
	for seed := range uint64(seeds64) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); checkHotChange(t, seed, 64, 40_000) })
	}
}

var seeds8, seeds64 = 24, 12
