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

// Command is one operator command with its argument and options.
type Command struct {
	// Name is apply, plan, confirm, status, explain, history, drain, undrain,
	// quarantine or burn.
	Name string
	// Argument is the file of apply, the plan ID of plan, the plan ID or plan
	// file of confirm, the key of explain, the node of drain and undrain, or the
	// fingerprint of quarantine.
	Argument string

	// URL is the address of the node's operator interface, Token the token that
	// permits the command there, and Timeout bounds each call.
	URL, Token string
	Timeout    time.Duration
	// Service defaults to the service of the node.
	Service core.Service
	// By and Cause say who asks for a change and for which reason.
	By    string
	Cause string
	// Limit is the maximum number of events, and likewise of changes, that
	// history returns; default 100.
	Limit int
	// Lift ends a quarantine.
	Lift bool
	// JSON writes the answer as JSON instead of text.
	JSON bool
	// HTMLFile is the file that burn writes its page to.
	HTMLFile string
	// PlanFile is the file that apply writes its plan to. Confirm accepts this
	// file on any node, but a plan ID only on the node that made the plan.
	PlanFile string
}

// maxInputBytes bounds a file that a command reads. The largest is a plan: a
// declaration and up to intent.MaxMoves moves.
const maxInputBytes = 1 << 20

// Run executes the command, writes its result to out or its error to errOut, and
// returns the exit code.
func (c Command) Run(ctx context.Context, out, errOut io.Writer) int {
	result, err := c.execute(ctx)
	if err == nil {
		err = c.writeResult(out, result)
	}
	if err != nil {
		renderError(errOut, err, c.JSON)
	}
	return ExitCode(err)
}

func (c Command) execute(ctx context.Context) (any, error) {
	if err := c.prepare(); err != nil {
		return nil, err
	}
	client, err := NewClient(c.URL, c.Token, c.Timeout)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	author := Attribution{By: c.By, Cause: c.Cause}
	switch c.Name {
	case "apply":
		return c.applyDeclaration(ctx, client)
	case "plan":
		return asAny(client.Plan(ctx, c.Argument))
	case "confirm":
		return c.confirmPlan(ctx, client, author)
	case "status":
		return asAny(client.Status(ctx))
	case "history":
		return asAny(client.History(ctx, max(1, c.Limit)))
	case "burn":
		return c.fetchBurnReport(ctx, client)
	}
	if err := c.setDefaultService(ctx, client); err != nil {
		return nil, err
	}
	switch c.Name {
	case "explain":
		return asAny(client.Explain(ctx, c.Service, c.Argument))
	case "quarantine":
		return asAny(client.Quarantine(ctx, QuarantineRequest{c.Service, c.Argument, c.Lift, author}))
	default: // drain and undrain
		return asAny(client.Drain(ctx, DrainRequest{c.Service, core.NodeID(c.Argument), author}, c.Name == "drain"))
	}
}

// argumentNames holds the name of the argument of each command, or "" for a
// command without one.
var argumentNames = map[string]string{
	"apply": "FILE", "plan": "ID", "confirm": "PLAN", "status": "", "explain": "KEY", "history": "",
	"drain": "NODE", "undrain": "NODE", "quarantine": "FINGERPRINT", "burn": "",
}

// prepare checks the name and argument of the command and sets the default limit.
func (c *Command) prepare() error {
	name, known := argumentNames[c.Name]
	switch {
	case !known:
		return &UsageError{Argument: "command", Requirement: "must be one of apply, plan, confirm, status, explain, history, drain, undrain, quarantine, burn"}
	case name != "" && c.Argument == "":
		return &UsageError{Argument: name, Requirement: "is required"}
	case name == "" && c.Argument != "":
		return &UsageError{Argument: c.Argument, Requirement: "is not expected"}
	}
	if c.Limit == 0 {
		c.Limit = 100
	}
	return nil
}

// setDefaultService asks the node for its service if the command names none.
func (c *Command) setDefaultService(ctx context.Context, client *Client) error {
	if c.Service != "" {
		return nil
	}
	status, err := client.Status(ctx)
	c.Service = status.Service
	return err
}

// applyDeclaration sends the declaration in the file named by the argument, and
// writes the plan that the node returns to PlanFile, if set.
func (c Command) applyDeclaration(ctx context.Context, client *Client) (any, error) {
	text, err := readInputFile(c.Argument)
	if err != nil {
		return nil, err
	}
	plan, err := client.Apply(ctx, text)
	if err != nil || c.PlanFile == "" {
		return plan, err
	}
	data, err := json.MarshalIndent(plan, "", "\t")
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "plan could not be encoded")
	}
	return plan, writeFile(c.PlanFile, data)
}

// confirmPlan takes the argument as a plan file if a file of that name exists,
// otherwise as a plan ID.
func (c Command) confirmPlan(ctx context.Context, client *Client, author Attribution) (any, error) {
	request := ConfirmRequest{PlanID: c.Argument, Attribution: author}
	if _, err := os.Stat(c.Argument); err == nil {
		text, err := readInputFile(c.Argument)
		if err != nil {
			return nil, err
		}
		request.PlanID, request.Plan = "", &intent.Plan{}
		if err := json.Unmarshal(text, request.Plan); err != nil {
			return nil, &UsageError{Argument: c.Argument, Requirement: "must be a plan that apply wrote: " + err.Error()}
		}
	}
	return asAny(client.Confirm(ctx, request))
}

// fetchBurnReport writes the HTML page to HTMLFile, if set, and leaves it out of
// the result.
func (c Command) fetchBurnReport(ctx context.Context, client *Client) (any, error) {
	report, err := client.Burn(ctx, c.HTMLFile != "")
	if err != nil || c.HTMLFile == "" {
		return report, err
	}
	page := report.HTML
	report.HTML = ""
	return report, writeFile(c.HTMLFile, []byte(page))
}

func readInputFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &UsageError{Argument: path, Requirement: "must be readable: " + err.Error()}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxInputBytes+1))
	if err != nil || len(data) > maxInputBytes {
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
