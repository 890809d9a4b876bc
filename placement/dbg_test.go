package placement

import (
	"fmt"
	"testing"
	"time"
)

func state(s *sim) {
	p := s.loads.profile(s.now)
	m := newModel(s.table, p, nil)
	fmt.Printf("%v est:", time.Duration(s.now))
	for o := range m.load {
		fmt.Printf(" %.3f(in %d)", m.ratio(o), m.incoming[o])
	}
	fmt.Printf("\n  true:")
	for _, o := range s.truth(s.table) {
		fmt.Printf(" %.3f", o.load*float64(len(m.load)))
	}
	fmt.Printf("\n  over %v recent %d\n", s.planner.over, len(s.planner.recent))
	pl := s.planner.Plan(s.now, s.table, s.loads, nil)
	fmt.Printf("  deferred %d moves %d\n", pl.Deferred, len(pl.Moves))
	for o, st := range s.truth(s.table) {
		fmt.Printf("  %d:", o)
		for i := range 8 {
			fmt.Printf(" %.3f", st.keys[i]*float64(len(m.load)))
		}
		fmt.Println()
	}
}

func TestDbg(t *testing.T) {
	for _, seed := range []uint64{8, 22} {
		s := newSim(seed, 8, 10000)
		s.settle()
		s.changeHot()
		for imbalanceOf(s.truth(s.table)) <= 1.2 {
			s.changeHot()
		}
		dbg = true
		for range 7 {
			s.run(5 * time.Second)
			fmt.Print("  true:")
			for _, o := range s.truth(s.table) {
				fmt.Printf(" %.3f", o.load*8)
			}
			fmt.Print("\n  est: ")
			m := newModel(s.table, s.loads.profile(s.now), nil)
			for o := range m.load {
				fmt.Printf(" %.3f", m.ratio(o))
			}
			fmt.Println()
		}
		state(s)
		dbg = false
	}
}
