package ownership

import (
	"os"
	"strconv"
	"testing"
)

func TestDebugAll(t *testing.T) {
	if os.Getenv("DBG") == "" {
		t.Skip()
	}
	n, _ := strconv.Atoi(os.Getenv("DBG"))
	bad := 0
	for i, s := range runSeeds(n, 20000, false) {
		if s.fault != "" {
			bad++
			t.Logf("seed %d: %s", i+1, s.fault)
		}
	}
	t.Logf("bad %d of %d", bad, n)
}

func TestDebugOne(t *testing.T) {
	if os.Getenv("SEED") == "" {
		t.Skip()
	}
	n, _ := strconv.Atoi(os.Getenv("SEED"))
	debugTrace = true
	s := randomRun(uint64(n), 20000, false)
	k := 60
	if os.Getenv("K") != "" {
		k, _ = strconv.Atoi(os.Getenv("K"))
	}
	for _, l := range s.trace[max(0, len(s.trace)-k):] {
		t.Log(l)
	}
	t.Log(s.fault)
}
