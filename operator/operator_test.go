package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// fake plans and confirms with package intent; its other answers are fixed.
type fake struct {
	config chan intent.Config // holds one value
	plans  map[string]intent.Plan
	err    error
	// entered is told of each Status call, which then waits for block.
	entered, block chan struct{}
}

func (f *fake) Apply(_ context.Context, want intent.Declaration) (intent.Plan, error) {
	c := <-f.config
	defer func() { f.config <- c }()
	p, err := intent.Make(c, want, nil)
	f.plans[p.ID] = p
	return p, err
}

func (f *fake) Plan(_ context.Context, id string) (intent.Plan, error) {
	p, known := f.plans[id]
	if !known {
		return p, core.Fail(core.CodeNotFound, "no such plan on this node")
	}
	return p, nil
}

func (f *fake) Confirm(ctx context.Context, in ConfirmRequest) (ChangeResult, error) {
	if in.Plan == nil {
		p, err := f.Plan(ctx, in.PlanID)
		if err != nil {
			return ChangeResult{}, err
		}
		in.Plan = &p
	}
	c := <-f.config
	defer func() { f.config <- c }()
	next, err := intent.Confirm(c, *in.Plan, intent.Confirmation{By: in.By, Cause: in.Cause})
	if err != nil {
		return ChangeResult{}, err
	}
	c = next
	return ChangeResult{Revision: c.Revision, WaitingFor: []core.NodeID{"n2"}}, nil
}

func (f *fake) Status(context.Context) (Status, error) {
	if f.block != nil {
		f.entered <- struct{}{}
		<-f.block
	}
	return Status{Node: "n1", Service: "hintapalvelu", InForce: true, Group: GroupStatus{Members: []MemberStatus{{Node: "n1", Share: 0.25, Backend: "serving"}}}}, f.err
}

func (f *fake) Explain(_ context.Context, s core.Service, key string) (Explanation, error) {
	return Explanation{Service: s, Key: key, Owner: "n1", Token: "3.7", Why: []string{"assigned at term 3"}}, f.err
}

func (f *fake) History(_ context.Context, limit int) (History, error) {
	return History{Events: []Event{{Kind: "takeover", Cause: "coordinator lost", Term: 4, Detail: map[string]string{"b": "2", "a": "1"}}}}, f.err
}

func (f *fake) Drain(_ context.Context, d DrainRequest, on bool) (ChangeResult, error) {
	if d.Node != "n1" || !on {
		return ChangeResult{}, core.Fail(core.CodeNotFound, "no such node")
	}
	return ChangeResult{Revision: 9, InForce: true}, nil
}

func (f *fake) Quarantine(_ context.Context, q QuarantineRequest) (ChangeResult, error) {
	return ChangeResult{Revision: 10, InForce: q.Lift}, nil
}

func (f *fake) Burn(_ context.Context, html bool) (BurnReport, error) {
	b := BurnReport{Report: json.RawMessage(`{"x":1}`), Text: "budget left 90%"}
	if html {
		b.HTML = "<!doctype html>"
	}
	return b, nil
}

const (
	readToken   = "read-token-0123456789"
	changeToken = "change-token-0123456789"
	declared    = `{"services": [{"name": "hintapalvelu", "region": "fi-south", "slots": 17, "connections": 130}]}`
)

func serve(t *testing.T, cfg Config) (*fake, string) {
	f := &fake{config: make(chan intent.Config, 1), plans: map[string]intent.Plan{}}
	f.config <- intent.Config{Revision: 7}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	cfg.ReadToken, cfg.ChangeToken = readToken, changeToken
	s, err := NewServer(cfg, ln, f)
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		must.NoError(t, s.Shutdown(context.Background()))
		must.NoError(t, <-done)
	})
	url := "http://" + ln.Addr().String()
	code, _, _ := run(t, Command{Name: "history", URL: url, Token: readToken})
	must.Eq(t, ExitOK, code) // the server runs
	return f, url
}

func run(t *testing.T, c Command) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = c.Run(t.Context(), &o, &e)
	for _, secret := range []string{readToken, changeToken} {
		must.StrNotContains(t, o.String()+e.String(), secret)
	}
	return code, o.String(), e.String()
}

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "in.jsonc")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a change without a plan, a plan that is confirmed over
// another change, and a second confirm that acts or fails.
func TestApplyPlanConfirm(t *testing.T) {
	_, url := serve(t, Config{})
	c := Command{URL: url, Token: changeToken, By: "aino"}
	file := filepath.Join(t.TempDir(), "plan.json")
	apply, plan, confirm := c, c, c
	apply.Name, apply.Arg, apply.Out = "apply", write(t, "// comment\n"+declared), file
	code, out, _ := run(t, apply)
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, `services[hintapalvelu].slots added as 17`)
	id := strings.Fields(strings.SplitN(out, ",", 2)[0])[1]

	plan.Name, plan.Arg = "plan", id
	code, again, _ := run(t, plan)
	must.Eq(t, ExitOK, code)
	must.Eq(t, out, again)

	for _, arg := range []string{file, id, id} {
		confirm.Name, confirm.Arg = "confirm", arg
		code, out, _ = run(t, confirm)
		must.Eq(t, ExitOK, code)
		must.Eq(t, "accepted as revision 8\nwaiting for 1 nodes: n2\n", out)
	}
	apply.Arg = write(t, strings.Replace(declared, "17", "18", 1))
	_, first, _ := run(t, apply)
	apply.Arg = write(t, strings.Replace(declared, "17", "19", 1))
	code, _, _ = run(t, apply)
	must.Eq(t, ExitOK, code)
	confirm.Arg = file // the later plan
	code, _, _ = run(t, confirm)
	must.Eq(t, ExitOK, code)
	confirm.Arg = strings.Fields(strings.SplitN(first, ",", 2)[0])[1]
	code, _, errOut := run(t, confirm)
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, errOut, "services[hintapalvelu].slots changed from 17 to 19")
}

// Guards against reading without a token, and against changes with the token
// for reading.
func TestTokens(t *testing.T) {
	_, url := serve(t, Config{})
	for token, want := range map[string][2]int{
		readToken: {ExitOK, ExitUnauthorized}, changeToken: {ExitOK, ExitOK},
		"": {ExitUnauthorized, ExitUnauthorized}, changeToken + "x": {ExitUnauthorized, ExitUnauthorized},
	} {
		code, _, _ := run(t, Command{Name: "status", URL: url, Token: token})
		must.Eq(t, want[0], code)
		for _, name := range []string{"drain", "quarantine"} {
			code, _, _ = run(t, Command{Name: name, Arg: "n1", Service: "s", URL: url, Token: token})
			must.Eq(t, want[1], code)
		}
	}
	_, err := NewServer(Config{ReadToken: "same", ChangeToken: "same"}, nil, nil)
	must.Eq(t, core.CodeInvalid, core.CodeOf(err))
}

// Guards against requests whose faults are not named by field and limit.
func TestTypedFaults(t *testing.T) {
	_, url := serve(t, Config{MaxBodyBytes: 4096})
	c, err := NewClient(url, changeToken, 0)
	must.NoError(t, err)
	defer c.Close()
	for _, e := range []struct{ path, body, field, limit string }{
		{"/v1/apply", `{"services": [{"name": ""}], "x": 1}`, "services[0].name", "must be a text"},
		{"/v1/apply", `[`, "body", "must be JSON"},
		{"/v1/drain", `{"service": "s"}`, "node", "is required"},
		{"/v1/drain", `{"nod": "s"}`, "nod", "is not a known field"},
		{"/v1/drain", `{"node": 7}`, "node", "must be a JSON string"},
		{"/v1/drain", `{} {}`, "body", "must be one JSON object"},
		{"/v1/confirm", `{}`, "plan_id", "must be given, or else plan"},
		{"/v1/quarantine", `{}`, "service", "is required"},
	} {
		_, err := do[ChangeResult](t.Context(), c, "POST", e.path, []byte(e.body))
		var body *ErrorBody
		must.True(t, errors.As(err, &body), must.Sprint(e))
		must.Eq(t, "invalid", body.Code)
		must.Eq(t, e.field, body.Faults[0].Field)
		must.StrHasPrefix(t, e.limit, body.Faults[0].Limit)
	}
	_, err = do[ChangeResult](t.Context(), c, "POST", "/v1/apply", make([]byte, 5000))
	must.ErrorContains(t, err, "body: must have at most 4096 bytes")
	_, err = c.History(t.Context(), 0)
	must.Eq(t, ExitRefused, ExitCode(err))
}

// Guards against exit codes that scripts cannot rely on.
func TestExitCodes(t *testing.T) {
	f, url := serve(t, Config{})
	code := func(c Command) int {
		c.Token = changeToken
		if c.URL == "" {
			c.URL = url
		}
		code, _, errOut := run(t, c)
		must.Eq(t, code != ExitOK, errOut != "")
		return code
	}
	must.Eq(t, ExitUsage, code(Command{Name: "dance"}))
	must.Eq(t, ExitUsage, code(Command{Name: "apply"}))
	must.Eq(t, ExitUsage, code(Command{Name: "apply", Arg: "absent"}))
	must.Eq(t, ExitUsage, code(Command{Name: "status", Arg: "x"}))
	must.Eq(t, ExitUsage, code(Command{Name: "status", URL: "n1:18002"}))
	must.Eq(t, ExitUnreachable, code(Command{Name: "status", URL: "http://127.0.0.1:1"}))
	must.Eq(t, ExitRefused, code(Command{Name: "plan", Arg: "absent"}))
	must.Eq(t, ExitRefused, code(Command{Name: "undrain", Arg: "n1"}))
	f.err = core.Fail(core.CodeUnavailable, "store does not answer")
	must.Eq(t, ExitUnavailable, code(Command{Name: "status"}))
	f.err = errors.New("secret internals")
	_, _, errOut := run(t, Command{Name: "status", URL: url, Token: readToken})
	must.Eq(t, "internal: unclassified failure\n", errOut)
}

// Guards against operators that exhaust a node.
func TestInFlightIsBounded(t *testing.T) {
	f, url := serve(t, Config{InFlight: 1})
	f.entered, f.block = make(chan struct{}, 1), make(chan struct{})
	first := make(chan int, 1)
	c := Command{Name: "status", URL: url, Token: readToken}
	go func() { first <- c.Run(context.Background(), &bytes.Buffer{}, &bytes.Buffer{}) }()
	<-f.entered
	code, _, _ := run(t, Command{Name: "history", URL: url, Token: readToken})
	must.Eq(t, ExitUnavailable, code)
	close(f.block)
	must.Eq(t, ExitOK, <-first)
}

// Guards against answers that people cannot read, and JSON that is not the
// answer.
func TestRendering(t *testing.T) {
	_, url := serve(t, Config{})
	text := func(c Command) string {
		c.URL, c.Token = url, changeToken
		code, out, errOut := run(t, c)
		must.Eq(t, ExitOK, code, must.Sprint(errOut))
		return out
	}
	lines := strings.Split(strings.TrimSpace(text(Command{Name: "status"})), "\n")
	must.Eq(t, []string{"n1", "0", "0", "25.00%", "0s", "serving"}, strings.Fields(lines[len(lines)-1]))
	must.StrContains(t, text(Command{Name: "explain", Arg: "a b/ä&"}), "key \"a b/ä&\" of hintapalvelu has hash")
	must.StrContains(t, text(Command{Name: "history"}), "coordinator lost  a=1 b=2")
	must.StrContains(t, text(Command{Name: "drain", Arg: "n1"}), "accepted as revision 9\nin force everywhere")
	page := filepath.Join(t.TempDir(), "burn.html")
	must.Eq(t, "budget left 90%\n", text(Command{Name: "burn", HTML: page}))
	data, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, "<!doctype html>", string(data))
	var q ChangeResult
	must.NoError(t, json.Unmarshal([]byte(text(Command{Name: "quarantine", Arg: "ff", Lift: true, JSON: true})), &q))
	must.Eq(t, ChangeResult{Revision: 10, InForce: true}, q)
}
