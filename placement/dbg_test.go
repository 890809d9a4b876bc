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
	for _, seed := range []uint64{2, 7, 8} {
		s := newSim(seed, 64, 40000)
		s.settle()
		s.changeHot()
		dbg = true
		for range 6 {
			s.run(10 * time.Second)
			fmt.Print("  est: ")
			m := newModel(s.table, s.loads.profile(s.now), nil)
			for o, st := range s.truth(s.table) {
				if r := m.ratio(o); r > 1.17 || len(st.keys) < 1200 {
					fmt.Printf("  %d: %.3f true %.3f top %.3f %.3f keys %d over %v\n", o, r, st.load*64, st.keys[0]*64, st.keys[min(1, len(st.keys)-1)]*64, len(st.keys), s.now.Sub(s.planner.over[s.table.Members[o].Node]))
				}
			}
			fmt.Println()
		}
		dbg = false
	}
}
