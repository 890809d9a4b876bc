package ringgraph

import (
	"flag"
	"os"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write the page anew")

// page is the page that is checked.
const page = "../docs/design/rings.md"

// analyzeProgram analyzes the program that the deploy file starts.
var analyzeProgram = sync.OnceValues(func() (*Graph, error) { return Analyze("../cmd/marjoramshore", ".") })

// Guards against goroutines that wait for one another for ever, as the reclaimer of a
// quota did that waited for room in the ring that only it reads.
func TestNoReadersWaitForOneAnother(t *testing.T) {
	g, err := analyzeProgram()
	must.NoError(t, err)
	must.Eq(t, nil, g.Cycles())
	must.NotEq(t, nil, g.Waits)
}

// Guards against a ring that fills up because nobody reads it.
func TestEachRingHasOneReader(t *testing.T) {
	g, err := analyzeProgram()
	must.NoError(t, err)
	for _, r := range g.Rings {
		must.Len(t, 1, r.Readers, must.Sprint(r.Field, r.Name))
		must.SliceNotEmpty(t, r.Pushers, must.Sprint(r.Field, r.Name))
	}
}

// Guards against a page that no longer tells which rings there are.
func TestPageIsUpToDate(t *testing.T) {
	g, err := analyzeProgram()
	must.NoError(t, err)
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(g.Page()), 0o644))
	}
	written, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, g.Page(), string(written), must.Sprint("write it anew with -update"))
}

// Guards against an analysis that sees no cycle where there is one: by a function value,
// by two rings and by a reply.
func TestCyclesAreFound(t *testing.T) {
	g, err := Analyze("testdata/cycles", ".")
	must.NoError(t, err)
	must.Eq(t, [][]string{
		{"(*cycles.Answerer).Run", "(*cycles.Asker).Run"},
		{"(*cycles.Closer).Run"},
		{"(*cycles.Left).Run", "(*cycles.Right).Run"},
	}, g.Cycles())
	unread := g.Rings[len(g.Rings)-1]
	must.Eq(t, Ring{Field: "cycles.Unread.queue", Name: "unread", Capacity: "4", Policy: "Block"}, unread)
}
