package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"marjoramshore.example/burn"
)

// Text writes a snapshot as a table for terminals.
func Text(w io.Writer, s *burn.Snapshot) error {
	if _, err := fmt.Fprintf(w, "burn at %s, %d nodes\n\n", s.At.UTC().Format("2006-01-02 15:04:05Z"), s.Nodes); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(t, "SERVICE", "WORK", "OBJECTIVE", "REQUESTS 1h", "BURN 5m", "1h", "30m", "6h", "BUDGET LEFT", "STATE")
	for i := range s.Series {
		series := &s.Series[i] // its windows are 5 min, 1 h, 30 min and 6 h
		writeRow(t, string(series.Objective.Service), string(series.Objective.Work), formatObjective(series.Objective),
			fmt.Sprint(series.Windows[1].Total), formatRate(series.BurnRate(0)), formatRate(series.BurnRate(1)), formatRate(series.BurnRate(2)), formatRate(series.BurnRate(3)),
			formatPercent(series.RemainingBudget()), string(series.Alert()))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range s.Series {
		if err := writeDetails(w, &s.Series[i]); err != nil {
			return err
		}
	}
	return nil
}

// writeDetails writes the customers and keys of a series that have bad requests.
func writeDetails(w io.Writer, series *burn.Series) error {
	if len(series.Worst)+len(series.Customers)+len(series.Keys) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "\n%s %s\n", series.Objective.Service, series.Objective.Work); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	hasPrivateOutage := map[string]bool{}
	for _, c := range series.PrivateOutages() {
		hasPrivateOutage[string(c.Customer)] = true
	}
	writeRow(t, "  WORST CUSTOMERS", "REQUESTS", "FAILED", "SLOW", "BURN", "")
	for _, c := range series.Worst {
		note := ""
		if hasPrivateOutage[string(c.Customer)] {
			note = "private outage"
		}
		writeRow(t, "  "+maskControls(string(c.Customer)), fmt.Sprint(c.Counts.Total), fmt.Sprint(c.Counts.Failed),
			fmt.Sprint(c.Counts.Slow), formatRate(c.Burn), note)
	}
	writeRow(t, "  CUSTOMERS BY BUDGET", "BURNED")
	for _, c := range series.Customers {
		writeRow(t, "  "+maskControls(c.Name), fmt.Sprintf("%.0f", c.Burned))
	}
	writeRow(t, "  KEYS BY BUDGET", "BURNED")
	for _, k := range series.Keys {
		writeRow(t, "  "+maskControls(k.Name), fmt.Sprintf("%.0f", k.Burned))
	}
	return t.Flush()
}

// writeRow writes one row. Flush of the tab writer returns any error.
func writeRow(t *tabwriter.Writer, cells ...string) {
	_, _ = io.WriteString(t, strings.Join(cells, "\t")+"\n")
}

// maskControls replaces control characters by dots, so that names that callers
// chose cannot move the cursor or break the table.
func maskControls(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '.'
		}
		return r
	}, s)
}

func formatObjective(o burn.Objective) string {
	return fmt.Sprintf("%s, %s in %s", formatShare(o.Availability), formatShare(o.LatencyShare), o.Latency)
}

// formatShare formats an objective's share, such as 0.9995, as "99.95%".
func formatShare(f float64) string { return fmt.Sprintf("%.5g%%", 100*f) }

func formatRate(f float64) string { return fmt.Sprintf("%.1f", f) }

func formatPercent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }
