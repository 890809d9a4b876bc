package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes the report as a table for people.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\trequests\tattempts\tp50\tp90\tp99\tp99.9\tmax\toutcomes")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Name, c.Requests,
			float64(c.Attempts)/float64(max(c.Requests, 1)), ms(c.P50), ms(c.P90), ms(c.P99), ms(c.P999), ms(c.Max),
			counts(c.Outcomes)+reasons(c.Reasons))
	}
	_ = t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000) }

func counts(m map[string]int64) string {
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

func reasons(m map[string]int64) string {
	if len(m) == 0 {
		return ""
	}
	return " (" + counts(m) + ")"
}
