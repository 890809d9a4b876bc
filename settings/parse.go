package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFile bounds a settings file. The largest example has 2 KB.
const maxFile = 256 << 10

// Load reads and parses the settings file. The error is Faults.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, Faults{{File: path, Limit: "must be readable: " + err.Error()}}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return Settings{}, Faults{{File: path, Limit: "must be readable: " + err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses a settings file; file names it in faults. The error is Faults.
func Parse(file string, data []byte) (Settings, error) {
	p := &parser{file: file, data: data, lines: map[string]int{}}
	if len(data) > maxFile {
		return Settings{}, Faults{{File: file, Limit: fmt.Sprintf("at most %d bytes", maxFile)}}
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, Faults{p.syntaxFault(err)}
	}
	root, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fault(v.StartOffset, "", "must be an object")
		return Settings{}, p.faults
	}
	p.object("", root)
	p.fillDefaults()
	if len(p.faults) == 0 {
		p.checkTogether()
	}
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, p.faults
	}
	return p.s, nil
}

type parser struct {
	file   string
	data   []byte
	s      Settings
	lines  map[string]int // of the fields and sections that are present
	faults Faults
}

func (p *parser) line(offset int) int { return 1 + bytes.Count(p.data[:offset], []byte("\n")) }

func (p *parser) fault(offset int, path, limit string) {
	p.faults = append(p.faults, Fault{p.file, p.line(offset), path, limit})
}

// syntaxFault takes the line from hujson's message, which starts with
// "hujson: line N, column M: ".
func (p *parser) syntaxFault(err error) Fault {
	f := Fault{File: p.file, Limit: "must be JSON with comments: " + err.Error()}
	var column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &column); n == 2 {
		_, text, _ := strings.Cut(err.Error(), fmt.Sprintf("column %d: ", column))
		f.Limit = fmt.Sprintf("must be JSON with comments: column %d: %s", column, text)
	}
	return f
}

// object reads the members of one section; prefix is empty or ends in a dot.
func (p *parser) object(prefix string, o *hujson.Object) {
	for _, m := range o.Members {
		name, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		path := prefix + name.String()
		if _, twice := p.lines[path]; twice {
			p.fault(m.Name.StartOffset, path, "must appear once")
			continue
		}
		p.lines[path] = p.line(m.Name.StartOffset)
		p.member(path, m)
	}
}

func (p *parser) member(path string, m hujson.ObjectMember) {
	if i := slices.IndexFunc(fields, func(f field) bool { return f.path == path }); i >= 0 {
		l, ok := m.Value.Value.(hujson.Literal)
		if !ok || !fields[i].set(&p.s, l) {
			p.fault(m.Value.StartOffset, path, "must be "+fields[i].limit)
		}
		return
	}
	if !slices.ContainsFunc(fields, func(f field) bool { return strings.HasPrefix(f.path, path+".") }) {
		p.fault(m.Name.StartOffset, path, "is not a known field")
		return
	}
	section, ok := m.Value.Value.(*hujson.Object)
	if !ok {
		p.fault(m.Value.StartOffset, path, "must be an object")
		return
	}
	p.object(path+".", section)
}

// fillDefaults sets the fields that are absent.
func (p *parser) fillDefaults() {
	for _, f := range fields {
		if _, present := p.lines[f.path]; present {
			continue
		}
		switch {
		case f.def == "":
			section, _, _ := strings.Cut(f.path, ".")
			p.faults = append(p.faults, Fault{p.file, max(1, p.lines[section]), f.path, "is required: " + f.limit})
		case f.path == "advertise.caller":
			p.s.Advertise.Caller = p.s.Listen.Caller
		case f.path == "advertise.peer":
			p.s.Advertise.Peer = p.s.Listen.Peer
		default:
			f.set(&p.s, hujson.Literal(f.def))
		}
	}
}

func (p *parser) faultAt(path, limit string) {
	line, present := p.lines[path]
	if !present {
		section, _, _ := strings.Cut(path, ".")
		line = max(1, p.lines[section])
	}
	p.faults = append(p.faults, Fault{p.file, line, path, limit})
}

// checkTogether checks the limits that involve several fields.
func (p *parser) checkTogether() {
	s, t := &p.s, &p.s.Timing
	for _, a := range []struct {
		path string
		a    netip.AddrPort
	}{{"advertise.caller", s.Advertise.Caller}, {"advertise.peer", s.Advertise.Peer}} {
		if a.a.Addr().IsUnspecified() {
			p.faultAt(a.path, "must be an address that others can reach, not "+a.a.Addr().String())
		}
	}
	p.checkListeners()
	if s.ReadToken == s.ChangeToken {
		p.faultAt("operator.change_token", "must differ from operator.read_token")
	}
	if t.Promise < 2*t.Heartbeat {
		p.faultAt("timing.promise_ms", "must be at least 2 times timing.heartbeat_ms")
	}
	if t.Lease < t.Promise+t.Heartbeat {
		p.faultAt("timing.lease_ms", "must be at least timing.promise_ms plus timing.heartbeat_ms")
	}
	if t.Term < 2*t.Heartbeat {
		p.faultAt("timing.term_ms", "must be at least 2 times timing.heartbeat_ms")
	}
}

func (p *parser) checkListeners() {
	l := p.s.Listen
	seen := map[netip.AddrPort]string{}
	for _, e := range []struct {
		path string
		a    netip.AddrPort
	}{{"listen.caller", l.Caller}, {"listen.peer", l.Peer}, {"listen.operator", l.Operator}, {"listen.metrics", l.Metrics}} {
		if other, twice := seen[e.a]; twice {
			p.faultAt(e.path, "must differ from "+other)
		}
		seen[e.a] = e.path
	}
}

// Reference returns the table of all fields in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("| field | default | must be | meaning |\n|---|---|---|---|\n")
	for _, f := range fields {
		def := "required"
		if f.def != "" {
			def = "`" + f.def + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.path, def, f.limit, f.doc)
	}
	return b.String()
}
