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
	line(t, "SERVICE", "WORK", "OBJECTIVE", "REQUESTS 1h", "BURN 5m", "1h", "30m", "6h", "BUDGET LEFT", "STATE")
	for i := range s.Series {
		x := &s.Series[i]
		line(t, string(x.Objective.Service), string(x.Objective.Work), objective(x.Objective),
			fmt.Sprint(x.Windows[1].Total), rate(x.Burn(0)), rate(x.Burn(1)), rate(x.Burn(2)), rate(x.Burn(3)),
			percent(x.Remaining()), string(x.Alert()))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range s.Series {
		if err := details(w, &s.Series[i]); err != nil {
			return err
		}
	}
	return nil
}

// details lists customers and keys of a series with bad requests.
func details(w io.Writer, x *burn.Series) error {
	if len(x.Worst)+len(x.Customers)+len(x.Keys) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "\n%s %s\n", x.Objective.Service, x.Objective.Work); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	private := map[string]bool{}
	for _, c := range x.Private() {
		private[string(c.Customer)] = true
	}
	line(t, "  WORST CUSTOMERS", "REQUESTS", "FAILED", "SLOW", "BURN", "")
	for _, c := range x.Worst {
		note := ""
		if private[string(c.Customer)] {
			note = "private outage"
		}
		line(t, "  "+clean(string(c.Customer)), fmt.Sprint(c.Counts.Total), fmt.Sprint(c.Counts.Failed),
			fmt.Sprint(c.Counts.Slow), rate(c.Burn), note)
	}
	line(t, "  CUSTOMERS BY BUDGET", "BURNED")
	for _, c := range x.Customers {
		line(t, "  "+clean(c.Name), fmt.Sprintf("%.0f", c.Burned))
	}
	line(t, "  KEYS BY BUDGET", "BURNED")
	for _, k := range x.Keys {
		line(t, "  "+clean(k.Name), fmt.Sprintf("%.0f", k.Burned))
	}
	return t.Flush()
}

// line writes one row. The tab writer keeps any failure for Flush.
func line(t *tabwriter.Writer, cells ...string) {
	_, _ = io.WriteString(t, strings.Join(cells, "\t")+"\n")
}

// clean keeps names of callers from moving the cursor or breaking the table.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '.'
		}
		return r
	}, s)
}

func objective(o burn.Objective) string {
	return fmt.Sprintf("%s, %s in %s", share(o.Availability), share(o.LatencyShare), o.Latency)
}

func share(f float64) string { return fmt.Sprintf("%.5g%%", 100*f) }

func rate(f float64) string { return fmt.Sprintf("%.1f", f) }

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }
