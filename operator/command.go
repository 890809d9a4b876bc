package operator

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// Command is one operator command with its options.
type Command struct {
	// Name is apply, plan, confirm, status, explain, history, drain, undrain,
	// quarantine or burn.
	Name string
	// Arg is the FILE of apply, the id of plan, the id or file of confirm, the
	// KEY of explain, the node of drain and undrain, or the fingerprint of
	// quarantine.
	Arg string

	URL, Token string
	Timeout    time.Duration
	// Service defaults to that of the node.
	Service core.Service
	By      string
	Cause   string
	// Limit bounds the answer of history; default 100.
	Limit int
	// Lift ends a quarantine.
	Lift bool
	// JSON writes the answer as JSON instead of text.
	JSON bool
	// HTML is the file that burn writes its page to.
	HTML string
	// Out is the file that apply writes its plan to. Confirm reads it, which
	// works on any node, while an id is known only to the node that planned.
	Out string
}

// maxInput bounds a file that a command reads. A plan holds a declaration and
// up to intent.MaxMoves moves.
const maxInput = 1 << 20

// Run runs the command, writes the answer to out and a failure to errOut, and
// returns the exit code.
func (c Command) Run(ctx context.Context, out, errOut io.Writer) int {
	v, err := c.run(ctx)
	if err == nil {
		err = c.write(out, v)
	}
	if err != nil {
		renderError(errOut, err, c.JSON)
	}
	return ExitCode(err)
}

func (c Command) run(ctx context.Context) (any, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	client, err := NewClient(c.URL, c.Token, c.Timeout)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	who := Attribution{By: c.By, Cause: c.Cause}
	switch c.Name {
	case "apply":
		return c.apply(ctx, client)
	case "plan":
		return result(client.Plan(ctx, c.Arg))
	case "confirm":
		return c.confirm(ctx, client, who)
	case "status":
		return result(client.Status(ctx))
	case "history":
		return result(client.History(ctx, max(1, c.Limit)))
	case "burn":
		return c.burn(ctx, client)
	}
	if err := c.fillService(ctx, client); err != nil {
		return nil, err
	}
	switch c.Name {
	case "explain":
		return result(client.Explain(ctx, c.Service, c.Arg))
	case "quarantine":
		return result(client.Quarantine(ctx, QuarantineRequest{c.Service, c.Arg, c.Lift, who}))
	default:
		return result(client.Drain(ctx, DrainRequest{c.Service, core.NodeID(c.Arg), who}, c.Name == "drain"))
	}
}

// arguments names the argument of each command; empty for none.
var arguments = map[string]string{
	"apply": "FILE", "plan": "ID", "confirm": "PLAN", "status": "", "explain": "KEY", "history": "",
	"drain": "NODE", "undrain": "NODE", "quarantine": "FINGERPRINT", "burn": "",
}

func (c *Command) check() error {
	name, known := arguments[c.Name]
	switch {
	case !known:
		return &UsageError{Argument: "command", Requirement: "must be one of apply, plan, confirm, status, explain, history, drain, undrain, quarantine, burn"}
	case name != "" && c.Arg == "":
		return &UsageError{Argument: name, Requirement: "is required"}
	case name == "" && c.Arg != "":
		return &UsageError{Argument: c.Arg, Requirement: "is not expected"}
	}
	if c.Limit == 0 {
		c.Limit = 100
	}
	return nil
}

func (c *Command) fillService(ctx context.Context, client *Client) error {
	if c.Service != "" {
		return nil
	}
	st, err := client.Status(ctx)
	c.Service = st.Service
	return err
}

func (c Command) apply(ctx context.Context, client *Client) (any, error) {
	text, err := readInput(c.Arg)
	if err != nil {
		return nil, err
	}
	plan, err := client.Apply(ctx, text)
	if err != nil || c.Out == "" {
		return plan, err
	}
	data, err := json.MarshalIndent(plan, "", "\t")
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "plan not encodable")
	}
	return plan, writeFile(c.Out, data)
}

// confirm takes PLAN as a file if one of that name exists, else as an id.
func (c Command) confirm(ctx context.Context, client *Client, who Attribution) (any, error) {
	in := ConfirmRequest{PlanID: c.Arg, Attribution: who}
	if _, err := os.Stat(c.Arg); err == nil {
		text, err := readInput(c.Arg)
		if err != nil {
			return nil, err
		}
		in.PlanID, in.Plan = "", &intent.Plan{}
		if err := json.Unmarshal(text, in.Plan); err != nil {
			return nil, &UsageError{Argument: c.Arg, Requirement: "must be a plan that apply wrote: " + err.Error()}
		}
	}
	return result(client.Confirm(ctx, in))
}

func (c Command) burn(ctx context.Context, client *Client) (any, error) {
	b, err := client.Burn(ctx, c.HTML != "")
	if err != nil || c.HTML == "" {
		return b, err
	}
	page := b.HTML
	b.HTML = ""
	return b, writeFile(c.HTML, []byte(page))
}

func readInput(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &UsageError{Argument: path, Requirement: "must be readable: " + err.Error()}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxInput+1))
	if err != nil || len(data) > maxInput {
		return nil, &UsageError{Argument: path, Requirement: "must be a file of at most 1 MiB"}
	}
	return data, nil
}

func writeFile(path string, data []byte) error {
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return &UsageError{Argument: path, Requirement: "must be writable: " + err.Error()}
	}
	return nil
}
