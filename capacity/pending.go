package capacity

import "strings"

// PendingRole is a role whose module had no code when the slopes were recorded.
type PendingRole struct {
	Role, Module string
	// Slopes are what its calculation needs.
	Slopes []string
}

// Pending lists the roles that await their modules. When a module has code,
// measure the slopes in package slopes, add a row beside those of the other
// roles and remove the role here.
var Pending = []PendingRole{
	{"load reporter", "placement", []string{"placement-report-bytes"}},
	{"placement planner", "placement", []string{"placement-plan-time", "placement-memory"}},
	{"journal", "journal", []string{"journal-memory"}},
	{"burn reporter", "burn", []string{"burn-memory"}},
}

// pendingRows says plainly that these roles are not measured.
func (m *Model) pendingRows() []Row {
	var out []Row
	for _, p := range Pending {
		m.begin()
		out = append(out, m.judge(Row{
			Role: p.Role, Carrier: p.Module, Verdict: NotMeasured,
			Why: "the module has no code in the measured tree; awaits " + strings.Join(p.Slopes, ", "),
		}))
	}
	return out
}
