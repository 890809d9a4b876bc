package placement

import (
	"fmt"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	s := newSim(0, 64, 40000)
	show := func() {
		for o, st := range s.truth(s.table) {
			if st.keys[0]*64 > 0.4 || len(st.keys) < 5000 || st.load*64 > 1.17 {
				fmt.Printf("  %v owner %d keys %d load %.3f top %.3f %.3f\n", time.Duration(s.now), o, len(st.keys), st.load*64, st.keys[0]*64, st.keys[min(1, len(st.keys)-1)]*64)
			}
		}
	}
	s.settle()
	show()
	s.changeHot()
	show()
	dbg = true
	s.run(60 * time.Second)
	show()
}
