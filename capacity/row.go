package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Verdict says whether a row fits its limit.
type Verdict string

// Verdicts.
const (
	Fits        Verdict = "fits"
	DoesNotFit  Verdict = "does not fit"
	NotBuilt    Verdict = "not built"
	NotMeasured Verdict = "not measured"
)

// Row is the cost of one role of one process.
type Row struct {
	Role string
	// Carrier names the modules and the mechanism.
	Carrier string
	// State is what the role must know, in bytes as encoded, and Memory what
	// the process uses for it.
	State, Memory float64
	// Messages and Bytes are per second, sent and received together.
	Messages, Bytes float64
	// CPU is a share of a core.
	CPU float64
	// Slopes names the slopes used and Factor is the largest extrapolation.
	Slopes  []string
	Factor  float64
	Verdict Verdict
	// Why explains a verdict other than Fits.
	Why string
}

// StoreRow is the load of the whole fleet on the store in one situation.
type StoreRow struct {
	Situation string
	Carrier   string
	// Writes and Reads are calls a second, waiting watches included.
	Writes, Reads float64
	Slopes        []string
	Factor        float64
	Verdict       Verdict
	Why           string
}

// Model calculates the rows.
type Model struct {
	Fleet       Fleet
	Limits      Limits
	Assumptions Assumptions
	record      *Record
	missing     []string
	used        []string
	factor      float64
}

// NewModel returns a Model of the expected fleet with measured slopes.
func NewModel(r *Record) *Model {
	return &Model{Fleet: Expected(), Limits: Allowed(), Assumptions: Assumed(), record: r}
}

// begin forgets the slopes used for the row before.
func (m *Model) begin() { m.used, m.factor = nil, 1 }

// at evaluates a slope and notes its use for the present row.
func (m *Model) at(name string, size float64) float64 {
	s, ok := m.record.Find(name)
	if !ok {
		if !slices.Contains(m.missing, name) {
			m.missing = append(m.missing, name)
		}
		return 0
	}
	if !slices.Contains(m.used, name) {
		m.used = append(m.used, name)
	}
	m.factor = max(m.factor, s.Factor(size))
	return s.At(size)
}

// judge completes a row: it fails for each limit that it exceeds and for each
// reason given.
func (m *Model) judge(r Row, reasons ...string) Row {
	r.Slopes, r.Factor = m.used, m.factor
	if r.Verdict != "" {
		return r
	}
	if r.CPU > m.Limits.CPU {
		reasons = append(reasons, fmt.Sprintf("%.1f%% of a core exceeds %.1f%%", r.CPU*100, m.Limits.CPU*100))
	}
	if r.Memory > m.Limits.Memory {
		reasons = append(reasons, fmt.Sprintf("%s exceeds %s", Size(r.Memory), Size(m.Limits.Memory)))
	}
	if r.Bytes > m.Limits.Bytes {
		reasons = append(reasons, fmt.Sprintf("%s a second exceeds %s", Size(r.Bytes), Size(m.Limits.Bytes)))
	}
	r.Verdict, r.Why = verdict(reasons)
	return r
}

// judgeStore completes a store row.
func (m *Model) judgeStore(r StoreRow, reasons ...string) StoreRow {
	r.Slopes, r.Factor = m.used, m.factor
	if r.Writes > m.Limits.Writes {
		reasons = append(reasons, fmt.Sprintf("%.0f writes a second exceed %.0f", r.Writes, m.Limits.Writes))
	}
	if r.Reads > m.Limits.Reads {
		reasons = append(reasons, fmt.Sprintf("%.0f reads a second exceed %.0f", r.Reads, m.Limits.Reads))
	}
	r.Verdict, r.Why = verdict(reasons)
	return r
}

func verdict(reasons []string) (Verdict, string) {
	reasons = slices.DeleteFunc(reasons, func(s string) bool { return s == "" })
	if len(reasons) > 0 {
		return DoesNotFit, strings.Join(reasons, "; ")
	}
	return Fits, ""
}

// when returns text if the condition holds.
func when(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}

// Size writes a number of bytes with three digits.
func Size(b float64) string {
	switch {
	case b >= 1e6:
		return fmt.Sprintf("%.3g MB", b/1e6)
	case b >= 1e3:
		return fmt.Sprintf("%.3g KB", b/1e3)
	default:
		return fmt.Sprintf("%.0f B", b)
	}
}
