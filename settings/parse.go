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

// maxFileBytes bounds the size of a settings file. The largest example has 2 KB.
const maxFileBytes = 256 << 10

// Load reads and parses the settings file at path. The error is Faults.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, Faults{{File: path, Limit: "must be readable: " + err.Error()}}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return Settings{}, Faults{{File: path, Limit: "must be readable: " + err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses a settings file; file names it in faults. The error is Faults.
func Parse(file string, data []byte) (Settings, error) {
	p := &parser{file: file, data: data, lines: map[string]int{}}
	if len(data) > maxFileBytes {
		return Settings{}, Faults{{File: file, Limit: fmt.Sprintf("must have at most %d bytes", maxFileBytes)}}
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, Faults{p.syntaxFault(err)}
	}
	root, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addFault(v.StartOffset, "", "must be an object")
		return Settings{}, p.faults
	}
	p.readSection("", root)
	p.fillDefaults()
	if len(p.faults) == 0 {
		p.checkRelations()
	}
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, p.faults
	}
	return p.settings, nil
}

// parser parses one settings file and collects its faults.
type parser struct {
	file     string
	data     []byte
	settings Settings
	lines    map[string]int // path to line of each field and section present
	faults   Faults
}

// lineAt returns the line of a byte offset, counted from 1.
func (p *parser) lineAt(offset int) int { return 1 + bytes.Count(p.data[:offset], []byte("\n")) }

func (p *parser) addFault(offset int, path, limit string) {
	p.faults = append(p.faults, Fault{p.file, p.lineAt(offset), path, limit})
}

// syntaxFault converts an error of hujson. It takes the line from the message,
// which starts with "hujson: line N, column M: ".
func (p *parser) syntaxFault(err error) Fault {
	f := Fault{File: p.file, Limit: "must be JSON with comments: " + err.Error()}
	var column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &column); n == 2 {
		_, text, _ := strings.Cut(err.Error(), fmt.Sprintf("column %d: ", column))
		f.Limit = fmt.Sprintf("must be JSON with comments: column %d: %s", column, text)
	}
	return f
}

// readSection reads the fields of one section. prefix is empty for the root and
// otherwise the path of the section with a dot.
func (p *parser) readSection(prefix string, o *hujson.Object) {
	for _, m := range o.Members {
		name, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			continue
		}
		path := prefix + name.String()
		if _, repeated := p.lines[path]; repeated {
			p.addFault(m.Name.StartOffset, path, "must appear once")
			continue
		}
		p.lines[path] = p.lineAt(m.Name.StartOffset)
		p.readField(path, m)
	}
}

// readField reads one field, or the section that path names.
func (p *parser) readField(path string, m hujson.ObjectMember) {
	if i := slices.IndexFunc(fields, func(f field) bool { return f.path == path }); i >= 0 {
		literal, ok := m.Value.Value.(hujson.Literal)
		if !ok || !fields[i].set(&p.settings, literal) {
			p.addFault(m.Value.StartOffset, path, "must be "+fields[i].limit)
		}
		return
	}
	if !slices.ContainsFunc(fields, func(f field) bool { return strings.HasPrefix(f.path, path+".") }) {
		p.addFault(m.Name.StartOffset, path, "is not a known field")
		return
	}
	section, ok := m.Value.Value.(*hujson.Object)
	if !ok {
		p.addFault(m.Value.StartOffset, path, "must be an object")
		return
	}
	p.readSection(path+".", section)
}

// fillDefaults sets absent fields to their defaults and reports absent fields
// that are required.
func (p *parser) fillDefaults() {
	for _, f := range fields {
		if _, present := p.lines[f.path]; present {
			continue
		}
		switch {
		case f.defaultText == "":
			section, _, _ := strings.Cut(f.path, ".")
			p.faults = append(p.faults, Fault{p.file, max(1, p.lines[section]), f.path, "is required: " + f.limit})
		case f.path == "advertise.caller":
			p.settings.Advertise.Caller = p.settings.Listen.Caller
		case f.path == "advertise.peer":
			p.settings.Advertise.Peer = p.settings.Listen.Peer
		default:
			f.set(&p.settings, hujson.Literal(f.defaultText))
		}
	}
}

// addFieldFault adds a fault at the line of a field or, if the field is absent,
// of its section.
func (p *parser) addFieldFault(path, limit string) {
	line, present := p.lines[path]
	if !present {
		section, _, _ := strings.Cut(path, ".")
		line = max(1, p.lines[section])
	}
	p.faults = append(p.faults, Fault{p.file, line, path, limit})
}

// checkRelations checks that advertised addresses can be reached and that
// fields agree with each other.
func (p *parser) checkRelations() {
	s, t := &p.settings, &p.settings.Timing
	for _, advertised := range []struct {
		path string
		addr netip.AddrPort
	}{{"advertise.caller", s.Advertise.Caller}, {"advertise.peer", s.Advertise.Peer}} {
		if advertised.addr.Addr().IsUnspecified() {
			p.addFieldFault(advertised.path, "must be an address that others can reach, not "+advertised.addr.Addr().String())
		}
	}
	p.checkListeners()
	if s.ReadToken == s.ChangeToken {
		p.addFieldFault("operator.change_token", "must differ from operator.read_token")
	}
	if t.Promise < 2*t.Heartbeat {
		p.addFieldFault("timing.promise_ms", "must be at least 2 times timing.heartbeat_ms")
	}
	if t.Lease < t.Promise+t.Heartbeat {
		p.addFieldFault("timing.lease_ms", "must be at least timing.promise_ms plus timing.heartbeat_ms")
	}
	if t.Term < 2*t.Heartbeat {
		p.addFieldFault("timing.term_ms", "must be at least 2 times timing.heartbeat_ms")
	}
}

// checkListeners checks that no two listeners have the same address.
func (p *parser) checkListeners() {
	l := p.settings.Listen
	seen := map[netip.AddrPort]string{}
	for _, listener := range []struct {
		path string
		addr netip.AddrPort
	}{{"listen.caller", l.Caller}, {"listen.peer", l.Peer}, {"listen.operator", l.Operator}, {"listen.metrics", l.Metrics}} {
		if other, repeated := seen[listener.addr]; repeated {
			p.addFieldFault(listener.path, "must differ from "+other)
		}
		seen[listener.addr] = listener.path
	}
}

// Reference returns the Markdown table of all fields for README.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("| field | default | must be | meaning |\n|---|---|---|---|\n")
	for _, f := range fields {
		shown := "required"
		if f.defaultText != "" {
			shown = "`" + f.defaultText + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.path, shown, f.limit, f.meaning)
	}
	return b.String()
}
