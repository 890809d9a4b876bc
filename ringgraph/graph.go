package ringgraph

import (
	"cmp"
	"go/types"
	"maps"
	"slices"
	"strings"

	"golang.org/x/tools/go/callgraph"
	"golang.org/x/tools/go/ssa"
)

// Ring is a ring that the program makes.
type Ring struct {
	// Field is the field that holds the ring, with its package and type.
	Field string
	// Name, Capacity and Policy are the arguments of its construction; "…" stands for
	// what is not constant.
	Name, Capacity, Policy string
	// Readers and Pushers are the functions that wait for its elements and those that
	// push to it, sorted.
	Readers, Pushers []string
}

// Wait tells that a reader waits for another one.
type Wait struct {
	// Reader waits for Other, both named as functions.
	Reader, Other string
	// Reason names the ring that must have room, or the kind of reply.
	Reason string
	// Through are the calls by which the reader comes to wait, from itself on.
	Through []string
}

// Graph is the rings of a program and the waits of their readers.
type Graph struct {
	Rings []Ring
	Waits []Wait
}

// Analyze returns the graph of the program whose packages patterns name in dir.
func Analyze(dir string, patterns ...string) (*Graph, error) {
	p, err := load(dir, patterns...)
	if err != nil {
		return nil, err
	}
	a := &analysis{program: p, rings: make(map[*types.Var]*Ring), readers: make(map[*ssa.Function]bool),
		pushes: make(map[*ssa.Function][]*types.Var), awaits: make(map[*ssa.Function][]string),
		replies: make(map[*ssa.Function][]string), readOf: make(map[*types.Var][]*ssa.Function)}
	a.findRings()
	a.findCalls()
	return &Graph{Rings: a.ringList(), Waits: a.waits()}, nil
}

// Cycles returns the sets of readers that wait for one another, each sorted.
func (g *Graph) Cycles() [][]string {
	next := make(map[string][]string)
	for _, w := range g.Waits {
		next[w.Reader] = append(next[w.Reader], w.Other)
	}
	reach := make(map[string]map[string]bool)
	for from := range next {
		reach[from] = make(map[string]bool)
		for todo := slices.Clone(next[from]); len(todo) > 0; todo = todo[1:] {
			if at := todo[0]; !reach[from][at] {
				reach[from][at] = true
				todo = append(todo, next[at]...)
			}
		}
	}
	var cycles [][]string
	for _, from := range slices.Sorted(maps.Keys(reach)) {
		var cycle []string
		for to := range reach[from] {
			if reach[to][from] {
				cycle = append(cycle, to)
			}
		}
		slices.Sort(cycle)
		// Each cycle is listed once, under its first reader.
		if len(cycle) > 0 && cycle[0] == from {
			cycles = append(cycles, cycle)
		}
	}
	return cycles
}

// analysis collects what the functions of a program do with rings.
type analysis struct {
	*program
	rings map[*types.Var]*Ring
	// readers are the functions that wait for elements, and readOf those of each ring.
	readers map[*ssa.Function]bool
	readOf  map[*types.Var][]*ssa.Function
	// pushes are the rings that a function itself pushes to. awaits and replies are the
	// types of the replies that it waits for and sends.
	pushes          map[*ssa.Function][]*types.Var
	awaits, replies map[*ssa.Function][]string
}

// findRings finds the fields that hold a new ring.
func (a *analysis) findRings() {
	for field, stores := range a.stores {
		for _, v := range stores.values {
			call, ok := v.(*ssa.Call)
			if !ok {
				continue
			}
			c, ok := asRingCall(call)
			if !ok || c.name != "New" && c.name != "NewCoalescing" {
				continue
			}
			r := &Ring{Field: stores.name, Name: constantText(c.args[0]), Capacity: constantText(c.args[1]), Policy: "Coalesce"}
			if c.name == "New" {
				r.Policy = policyName(c.args[2])
			}
			a.rings[field] = r
		}
	}
}

// findCalls finds who reads from and pushes to the rings, and who awaits replies.
func (a *analysis) findCalls() {
	for _, f := range a.functions {
		if packagePath(f) == ringPackage {
			continue
		}
		for i := range instructions(f) {
			c, ok := asRingCall(i)
			if !ok {
				continue
			}
			switch c.name {
			case "Push":
				a.ringsOf(c.subject, func(v *types.Var, r *Ring) {
					a.pushes[f] = append(a.pushes[f], v)
					r.Pushers = append(r.Pushers, functionName(f))
				})
			case "Next", "Ready", "Consume":
				a.ringsOf(c.subject, func(v *types.Var, r *Ring) {
					a.readers[f] = true
					a.readOf[v] = append(a.readOf[v], f)
					r.Readers = append(r.Readers, functionName(f))
				})
			case "Reply.Wait", "Reply.C":
				a.awaits[f] = append(a.awaits[f], replyType(c.subject))
			case "Reply.Send":
				a.replies[f] = append(a.replies[f], replyType(c.subject))
			}
		}
	}
}

// ringsOf calls f for each ring that a value may be.
func (a *analysis) ringsOf(v ssa.Value, f func(*types.Var, *Ring)) {
	a.resolve(v, func(field *types.Var) {
		if r := a.rings[field]; r != nil {
			f(field, r)
		}
	})
}

func replyType(v ssa.Value) string {
	return strings.ReplaceAll(strings.TrimPrefix(v.Type().String(), "*"), modulePrefix, "")
}

// ringList returns the rings, sorted by field.
func (a *analysis) ringList() []Ring {
	var list []Ring
	for _, r := range a.rings {
		for _, names := range []*[]string{&r.Readers, &r.Pushers} {
			slices.Sort(*names)
			*names = slices.Compact(*names)
		}
		list = append(list, *r)
	}
	slices.SortFunc(list, func(x, y Ring) int { return cmp.Compare(x.Field+x.Name, y.Field+y.Name) })
	return list
}

// reached are the functions that run before a call of a function returns, each with the
// calls that lead to it.
type reached map[*ssa.Function][]string

// reachedFrom returns the functions that a function calls, itself included.
func (a *analysis) reachedFrom(from *ssa.Function) reached {
	out := reached{from: {functionName(from)}}
	for todo := []*ssa.Function{from}; len(todo) > 0; todo = todo[1:] {
		for _, callee := range a.callees(todo[0]) {
			if out[callee] == nil {
				out[callee] = append(slices.Clone(out[todo[0]]), functionName(callee))
				todo = append(todo, callee)
			}
		}
	}
	return out
}

// callees returns the project's functions that a function calls, sorted. A function that
// it passes to a library counts as called.
func (a *analysis) callees(f *ssa.Function) []*ssa.Function {
	var out []*ssa.Function
	if node := a.calls.Nodes[f]; node != nil {
		for _, e := range node.Out {
			if _, isGo := e.Site.(*ssa.Go); isGo {
				continue
			}
			if inProject(e.Callee.Func) {
				out = append(out, e.Callee.Func)
			} else {
				out = append(out, passedFunctions(e)...)
			}
		}
	}
	slices.SortFunc(out, func(x, y *ssa.Function) int { return cmp.Compare(x.String(), y.String()) })
	return slices.Compact(out)
}

// asynchronous are the packages that call what is passed to them on another goroutine.
var asynchronous = []string{"context", "time", "github.com/panjf2000/ants/v2"}

// passedFunctions returns the functions among the arguments of a call of a library that
// the library calls before it returns.
func passedFunctions(e *callgraph.Edge) []*ssa.Function {
	if e.Site == nil || slices.Contains(asynchronous, packagePath(e.Callee.Func)) {
		return nil
	}
	var out []*ssa.Function
	for _, arg := range e.Site.Common().Args {
		if c, ok := arg.(*ssa.MakeClosure); ok {
			arg = c.Fn
		}
		if f, ok := arg.(*ssa.Function); ok && inProject(f) {
			out = append(out, f)
		}
	}
	return out
}

// sendersTo returns the readers that may send a reply of a type that f waits for: those
// of the rings to which f or what it calls pushes, or else all that send such replies.
func (a *analysis) sendersTo(f *ssa.Function, senders []*ssa.Function) []*ssa.Function {
	var asked []*ssa.Function
	for callee := range a.reachedFrom(f) {
		for _, v := range a.pushes[callee] {
			asked = append(asked, a.readOf[v]...)
		}
	}
	answering := slices.DeleteFunc(slices.Clone(senders), func(s *ssa.Function) bool { return !slices.Contains(asked, s) })
	if len(answering) > 0 {
		return answering
	}
	return senders
}

// waits returns the waits of all readers, one for each pair, sorted.
func (a *analysis) waits() []Wait {
	scopes, senders := make(map[*ssa.Function]reached), make(map[string][]*ssa.Function)
	for reader := range a.readers {
		scopes[reader] = a.reachedFrom(reader)
		for f := range scopes[reader] {
			for _, t := range a.replies[f] {
				senders[t] = append(senders[t], reader)
			}
		}
	}
	first := make(map[[2]string]Wait)
	note := func(reader, other *ssa.Function, reason string, through []string) {
		w := Wait{functionName(reader), functionName(other), reason, through}
		key := [2]string{w.Reader, w.Other}
		if old, ok := first[key]; !ok || compareWaits(w, old) < 0 {
			first[key] = w
		}
	}
	for reader, scope := range scopes {
		for f, through := range scope {
			for _, v := range a.pushes[f] {
				if r := a.rings[v]; r.Policy == "Block" {
					for _, other := range a.readOf[v] {
						note(reader, other, "room in "+r.Field, through)
					}
				}
			}
			for _, t := range a.awaits[f] {
				for _, other := range a.sendersTo(f, senders[t]) {
					note(reader, other, t, through)
				}
			}
		}
	}
	return slices.SortedFunc(maps.Values(first), compareWaits)
}

// compareWaits orders waits by their readers, and those of the same ones by the length of
// the way that leads to them.
func compareWaits(x, y Wait) int {
	return cmp.Or(cmp.Compare(x.Reader, y.Reader), cmp.Compare(x.Other, y.Other),
		cmp.Compare(len(x.Through), len(y.Through)), cmp.Compare(x.Reason, y.Reason), slices.Compare(x.Through, y.Through))
}
