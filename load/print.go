package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes the report as a text table.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\trequests\tattempts\tp50\tp90\tp99\tp99.9\tmax\toutcomes")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Name, c.Requests,
			float64(c.Attempts)/float64(max(c.Requests, 1)), formatMs(c.P50), formatMs(c.P90), formatMs(c.P99), formatMs(c.P999), formatMs(c.Max),
			formatCounts(c.Outcomes)+formatReasons(c.Reasons))
	}
	_ = t.Flush()
}

func formatMs(d time.Duration) string { return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000) }

func formatCounts(m map[string]int64) string {
	names := make([]string, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, k := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}

func formatReasons(m map[string]int64) string {
	if len(m) == 0 {
		return ""
	}
	return " (" + formatCounts(m) + ")"
}
