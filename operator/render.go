package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

func (c Command) writeResult(w io.Writer, v any) error {
	if c.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "\t")
		return wrapWriteError(e.Encode(v))
	}
	return Render(w, v)
}

// wrapWriteError returns a failure to write the output as a UsageError, or nil.
func wrapWriteError(err error) error {
	if err != nil {
		return &UsageError{Argument: "output", Requirement: "must be writable: " + err.Error()}
	}
	return nil
}

// Render writes a result of the API as text.
func Render(w io.Writer, v any) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	switch v := v.(type) {
	case intent.Plan:
		renderPlan(t, v)
	case ChangeResult:
		renderChangeResult(t, v)
	case Status:
		renderStatus(t, v)
	case Explanation:
		renderExplanation(t, v)
	case History:
		renderHistory(t, v)
	case BurnReport:
		fmt.Fprintln(t, strings.TrimRight(v.Text, "\n"))
	default:
		fmt.Fprintln(t, v)
	}
	return wrapWriteError(t.Flush())
}

// maxShownMoves bounds the moves that are listed as text; JSON lists all.
const maxShownMoves = 20

func renderPlan(w io.Writer, p intent.Plan) {
	fmt.Fprintf(w, "plan %s, made from revision %d; nothing has changed yet\n", p.ID, p.Base)
	renderHeading(w, "changes", len(p.Changes))
	for _, c := range p.Changes {
		fmt.Fprintf(w, "  %s\n", c)
	}
	renderHeading(w, "moves", len(p.Moves)+p.MoreMoves)
	for _, m := range p.Moves[:min(len(p.Moves), maxShownMoves)] {
		fmt.Fprintf(w, "  %s\t%s-%s\t%s -> %s\t%s\n", m.Service, m.Lo, m.Hi, m.From, m.To, m.Cause)
	}
	if more := len(p.Moves) + p.MoreMoves - maxShownMoves; more > 0 {
		fmt.Fprintf(w, "  and %d more\n", more)
	}
	for _, e := range p.Effects {
		fmt.Fprintf(w, "effect on %s: %.2f%% of the key space moves, each of its keys unavailable for at most %d ms, peak use of slots %.0f%% -> %.0f%%\n",
			e.Service, 100*e.Churn, e.KeyUnavailableMs, 100*e.PeakBefore, 100*e.PeakAfter)
	}
	renderRefusals(w, p.Refusals)
}

func renderHeading(w io.Writer, name string, n int) {
	if n == 0 {
		fmt.Fprintf(w, "%s: none\n", name)
		return
	}
	fmt.Fprintf(w, "%s: %d\n", name, n)
}

func renderRefusals(w io.Writer, list []intent.Refusal) {
	for _, r := range list {
		fmt.Fprintf(w, "will not %s of %s: %s\n", r.Action, r.Service, r.Reason)
	}
}

func renderChangeResult(w io.Writer, a ChangeResult) {
	fmt.Fprintf(w, "accepted as revision %d\n", a.Revision)
	renderInForce(w, a.InForce, a.WaitingFor)
	renderRefusals(w, a.WontDo)
}

func renderInForce(w io.Writer, inForce bool, waiting []core.NodeID) {
	if inForce {
		fmt.Fprintln(w, "in force everywhere")
		return
	}
	fmt.Fprintf(w, "waiting for %d nodes: %s\n", len(waiting), joinNames(waiting))
}

func joinNames[T ~string](list []T) string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = string(v)
	}
	return strings.Join(out, ", ")
}

func renderStatus(w io.Writer, s Status) {
	fmt.Fprintf(w, "node\t%s\nservice\t%s\nplace\t%s, %s\n", s.Node, s.Service, s.Region, s.DataCentre)
	fmt.Fprintf(w, "draining\t%t\nrevision\t%d\n", s.Draining, s.Revision)
	fmt.Fprintf(w, "store\t%s, answered %s ago\n", choose(s.Store.Failing, "failing", "answering"), formatMs(s.Store.AgeMs))
	fmt.Fprintf(w, "backend server\t%s, %d of %d in flight, %d queued\n", s.Backend.State, s.Backend.InFlight, s.Backend.Limit, s.Backend.Queued)
	g := s.Group
	fmt.Fprintf(w, "group\t%d, term %d, coordinator %s, successors %s\n", g.Number, g.Term, g.Coordinator, joinNames(g.Successors))
	renderInForce(w, s.InForce, s.WaitingFor)
	if len(g.Members) > 0 {
		fmt.Fprintln(w, "\nmember\tdata centre\trevision\tranges\tshare\tlease\tstate")
	}
	for _, m := range g.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f%%\t%s\t%s\n", m.Node, m.DataCentre, m.Revision, m.Ranges,
			100*m.Share, formatMs(m.LeaseMs), choose(m.Draining, "draining", m.Backend))
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func formatMs(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func renderExplanation(w io.Writer, e Explanation) {
	fmt.Fprintf(w, "key %q of %s has hash %s\n", e.Key, e.Service, e.Hash)
	fmt.Fprintf(w, "group %d, range %s-%s, revision %d\n", e.Group, e.Lo, e.Hi, e.Revision)
	if e.Owner == "" {
		fmt.Fprintln(w, "nobody owns it now")
	} else {
		fmt.Fprintf(w, "owner %s at %s, fencing token %s, lease for %s\n", e.Owner, e.Address, e.Token, formatMs(e.LeaseMs))
	}
	for _, why := range e.Why {
		fmt.Fprintf(w, "  %s\n", why)
	}
}

func renderHistory(w io.Writer, h History) {
	for _, e := range h.Events {
		var detail []string
		for _, k := range slices.Sorted(maps.Keys(e.Detail)) {
			detail = append(detail, k+"="+e.Detail[k])
		}
		fmt.Fprintf(w, "%s\t%s\t%s\trevision %d\tterm %d\t%s\t%s\n", formatTime(e.AtMs), e.Kind, e.Service,
			e.Revision, e.Term, e.Cause, strings.Join(detail, " "))
	}
	for _, c := range h.Changes {
		// No tabs: the cells of a long list of changes would widen the columns of
		// the events.
		fmt.Fprintf(w, "%s %s (%s)\n", formatTime(c.AtMs), c, c.Cause)
	}
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }

func renderError(w io.Writer, err error, asJSON bool) {
	var body *ErrorBody
	if !errors.As(err, &body) {
		body = &ErrorBody{Code: "client", Message: err.Error()}
	}
	if asJSON {
		// If the error cannot be written either, there is nowhere to report it.
		_ = json.NewEncoder(w).Encode(errorEnvelope{body})
		return
	}
	if len(body.Faults) == 0 {
		fmt.Fprintf(w, "%s: %s\n", body.Code, body.Message)
		return
	}
	fmt.Fprintf(w, "%s:\n", body.Code)
	for _, f := range body.Faults {
		fmt.Fprintf(w, "  %s\n", f.Error())
	}
}
