package ringgraph

import (
	"go/constant"
	"go/token"
	"go/types"
	"os"
	"strconv"
	"strings"

	"golang.org/x/tools/go/callgraph"
	"golang.org/x/tools/go/callgraph/cha"
	"golang.org/x/tools/go/callgraph/vta"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa"
	"golang.org/x/tools/go/ssa/ssautil"
)

// modulePrefix begins the paths of the packages that are looked at.
const modulePrefix = "marjoramshore.example/"

// ringPackage is the package of rings and replies.
const ringPackage = modulePrefix + "ring"

// LoadError reports packages that cannot be analyzed.
type LoadError struct {
	Dir   string
	Cause error
}

// Error implements error.
func (e *LoadError) Error() string { return "packages of " + e.Dir + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// program is a program with its call graph, in which calls within package ring and those
// of go statements are left out.
type program struct {
	functions []*ssa.Function
	calls     *callgraph.Graph
	// stores are the values that are stored in each field of a struct.
	stores map[*types.Var]*fieldStores
}

type fieldStores struct {
	// name is that of the field, with its package and type.
	name   string
	values []ssa.Value
}

// load loads the packages that patterns name in dir, and what they import.
func load(dir string, patterns ...string) (*program, error) {
	loaded, err := packages.Load(&packages.Config{Mode: packages.LoadAllSyntax, Dir: dir, Env: append(os.Environ(), "GOWORK=off")}, patterns...)
	if err != nil {
		return nil, &LoadError{dir, err}
	}
	for _, p := range loaded {
		if len(p.Errors) > 0 {
			return nil, &LoadError{dir, p.Errors[0]}
		}
	}
	whole, _ := ssautil.AllPackages(loaded, ssa.InstantiateGenerics)
	whole.Build()
	all := ssautil.AllFunctions(whole)
	p := &program{calls: vta.CallGraph(all, cha.CallGraph(whole)), stores: make(map[*types.Var]*fieldStores)}
	for f := range all {
		if inProject(f) {
			p.functions = append(p.functions, f)
		}
	}
	for _, f := range p.functions {
		for i := range instructions(f) {
			if s, ok := i.(*ssa.Store); ok {
				if a, ok := s.Addr.(*ssa.FieldAddr); ok {
					v := fieldOf(a.X.Type(), a.Field)
					if p.stores[v] == nil {
						p.stores[v] = &fieldStores{name: fieldName(v, a.X.Type())}
					}
					p.stores[v].values = append(p.stores[v].values, s.Val)
				}
			}
		}
	}
	return p, nil
}

// inProject reports whether a function has a body in a package of the project.
func inProject(f *ssa.Function) bool {
	return strings.HasPrefix(packagePath(f), modulePrefix) && len(f.Blocks) > 0
}

// packagePath returns the path of the package in which a function is declared.
func packagePath(f *ssa.Function) string {
	for f.Parent() != nil {
		f = f.Parent()
	}
	if f.Origin() != nil {
		f = f.Origin()
	}
	switch {
	case f.Pkg != nil:
		return f.Pkg.Pkg.Path()
	case f.Object() != nil && f.Object().Pkg() != nil:
		return f.Object().Pkg().Path()
	}
	return ""
}

// functionName returns the name of a function without type arguments and the module's
// path.
func functionName(f *ssa.Function) string {
	if f.Origin() != nil {
		f = f.Origin()
	}
	return strings.ReplaceAll(f.String(), modulePrefix, "")
}

func instructions(f *ssa.Function) func(yield func(ssa.Instruction) bool) {
	return func(yield func(ssa.Instruction) bool) {
		for _, b := range f.Blocks {
			for _, i := range b.Instrs {
				if !yield(i) {
					return
				}
			}
		}
	}
}

// fieldOf returns a field of a struct, or of a pointer to one. Instances of a generic
// struct share their fields.
func fieldOf(t types.Type, index int) *types.Var {
	if p, ok := t.Underlying().(*types.Pointer); ok {
		t = p.Elem()
	}
	return t.Underlying().(*types.Struct).Field(index).Origin()
}

// fieldName returns the name of a field with that of the package and type that has it.
func fieldName(v *types.Var, owner types.Type) string {
	if p, ok := owner.Underlying().(*types.Pointer); ok {
		owner = p.Elem()
	}
	name := types.TypeString(owner, func(p *types.Package) string { return strings.TrimPrefix(p.Path(), modulePrefix) })
	return name + "." + v.Name()
}

// ringCall describes a call of a function of package ring.
type ringCall struct {
	// name is that of the function or method, on its own or as Reply.Wait.
	name string
	// subject is the ring or reply, if there is one, and args are the other arguments.
	subject ssa.Value
	args    []ssa.Value
}

// asRingCall returns the call of package ring that an instruction makes.
func asRingCall(i ssa.Instruction) (ringCall, bool) {
	site, ok := i.(ssa.CallInstruction)
	if !ok {
		return ringCall{}, false
	}
	f := site.Common().StaticCallee()
	if f == nil || packagePath(f) != ringPackage {
		return ringCall{}, false
	}
	args := site.Common().Args
	switch name := strings.SplitN(f.Name(), "[", 2)[0]; {
	case name == "Consume":
		return ringCall{name, args[1], args[2:]}, true
	case f.Signature.Recv() == nil:
		return ringCall{name, nil, args}, true
	case strings.Contains(f.Signature.Recv().Type().String(), ".Reply["):
		return ringCall{"Reply." + name, args[0], args[1:]}, true
	default:
		return ringCall{name, args[0], args[1:]}, true
	}
}

// resolve calls found for each field from which a value may have been loaded.
func (p *program) resolve(v ssa.Value, found func(field *types.Var)) {
	seen := make(map[ssa.Value]bool)
	var follow func(ssa.Value)
	follow = func(v ssa.Value) {
		if v == nil || seen[v] {
			return
		}
		seen[v] = true
		switch v := v.(type) {
		case *ssa.FieldAddr:
			found(fieldOf(v.X.Type(), v.Field))
		case *ssa.Field:
			found(fieldOf(v.X.Type(), v.Field))
		case *ssa.UnOp:
			follow(v.X)
		case *ssa.Phi:
			for _, e := range v.Edges {
				follow(e)
			}
		case *ssa.ChangeType:
			follow(v.X)
		case *ssa.Alloc:
			for _, r := range *v.Referrers() {
				if s, ok := r.(*ssa.Store); ok && s.Addr == v {
					follow(s.Val)
				}
			}
		case *ssa.Parameter:
			p.followParameter(v, follow)
		case *ssa.FreeVar:
			followBindings(v, follow)
		case *ssa.Call:
			if f := v.Call.StaticCallee(); f != nil && packagePath(f) != ringPackage {
				for i := range instructions(f) {
					if r, ok := i.(*ssa.Return); ok && len(r.Results) == 1 {
						follow(r.Results[0])
					}
				}
			}
		}
	}
	follow(v)
}

// followParameter follows what the callers of a function pass for a parameter.
func (p *program) followParameter(v *ssa.Parameter, follow func(ssa.Value)) {
	node := p.calls.Nodes[v.Parent()]
	if node == nil {
		return
	}
	for at, param := range v.Parent().Params {
		for _, in := range node.In {
			if args := in.Site.Common().Args; param == v && !in.Site.Common().IsInvoke() && at < len(args) {
				follow(args[at])
			}
		}
	}
}

// followBindings follows what a closure captures as a variable.
func followBindings(v *ssa.FreeVar, follow func(ssa.Value)) {
	closure := v.Parent()
	for at, free := range closure.FreeVars {
		for i := range instructions(closure.Parent()) {
			if m, ok := i.(*ssa.MakeClosure); ok && free == v && m.Fn == closure {
				follow(m.Bindings[at])
			}
		}
	}
}

// constantText returns a constant argument as text, or "…" for a part that is none.
func constantText(v ssa.Value) string {
	switch v := v.(type) {
	case *ssa.Const:
		if v.Value == nil {
			return "nil"
		}
		if v.Value.Kind() == constant.String {
			return constant.StringVal(v.Value)
		}
		return v.Value.String()
	case *ssa.BinOp:
		if v.Op == token.ADD {
			return constantText(v.X) + constantText(v.Y)
		}
	}
	return "…"
}

// policyName returns the name of the constant of type ring.Policy that a call passes.
func policyName(v ssa.Value) string {
	names := []string{"Refuse", "DropOldest", "Coalesce", "Block"}
	if at, err := strconv.Atoi(constantText(v)); err == nil && at < len(names) {
		return names[at]
	}
	return "…"
}
