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

// fakeBackend plans and confirms with package intent; its other results are
// fixed.
type fakeBackend struct {
	config chan intent.Config // holds the configuration; taking it out locks it
	plans  map[string]intent.Plan
	err    error
	// If statusRelease is set, each call of Status sends to statusEntered and
	// then waits for statusRelease.
	statusEntered, statusRelease chan struct{}
}

func (f *fakeBackend) Apply(_ context.Context, declaration intent.Declaration) (intent.Plan, error) {
	c := <-f.config
	defer func() { f.config <- c }()
	p, err := intent.ComputePlan(c, declaration, nil)
	f.plans[p.ID] = p
	return p, err
}

func (f *fakeBackend) Plan(_ context.Context, id string) (intent.Plan, error) {
	p, known := f.plans[id]
	if !known {
		return p, core.Fail(core.CodeNotFound, "no such plan on this node")
	}
	return p, nil
}

func (f *fakeBackend) Confirm(ctx context.Context, request ConfirmRequest) (ChangeResult, error) {
	if request.Plan == nil {
		p, err := f.Plan(ctx, request.PlanID)
		if err != nil {
			return ChangeResult{}, err
		}
		request.Plan = &p
	}
	c := <-f.config
	defer func() { f.config <- c }()
	next, err := intent.Confirm(c, *request.Plan, intent.Confirmation{By: request.By, Cause: request.Cause})
	if err != nil {
		return ChangeResult{}, err
	}
	c = next
	return ChangeResult{Revision: c.Revision, WaitingFor: []core.NodeID{"n2"}}, nil
}

func (f *fakeBackend) Status(context.Context) (Status, error) {
	if f.statusRelease != nil {
		f.statusEntered <- struct{}{}
		<-f.statusRelease
	}
	return Status{Node: "n1", Service: "hintapalvelu", InForce: true, Group: GroupStatus{Members: []MemberStatus{{Node: "n1", Share: 0.25, Backend: "serving"}}}}, f.err
}

func (f *fakeBackend) Explain(_ context.Context, service core.Service, key string) (Explanation, error) {
	return Explanation{Service: service, Key: key, Owner: "n1", Token: "3.7", Why: []string{"assigned at term 3"}}, f.err
}

func (f *fakeBackend) History(_ context.Context, limit int) (History, error) {
	return History{Events: []Event{{Kind: "takeover", Cause: "coordinator lost", Term: 4, Detail: map[string]string{"b": "2", "a": "1"}}}}, f.err
}

func (f *fakeBackend) Drain(_ context.Context, request DrainRequest, start bool) (ChangeResult, error) {
	if request.Node != "n1" || !start {
		return ChangeResult{}, core.Fail(core.CodeNotFound, "no such node")
	}
	return ChangeResult{Revision: 9, InForce: true}, nil
}

func (f *fakeBackend) Quarantine(_ context.Context, request QuarantineRequest) (ChangeResult, error) {
	return ChangeResult{Revision: 10, InForce: request.Lift}, nil
}

func (f *fakeBackend) Burn(_ context.Context, html bool) (BurnReport, error) {
	b := BurnReport{Report: json.RawMessage(`{"x":1}`), Text: "budget left 90%"}
	if html {
		b.HTML = "<!doctype html>"
	}
	return b, nil
}

const (
	readToken       = "read-token-0123456789"
	changeToken     = "change-token-0123456789"
	declarationText = `{"services": [{"name": "hintapalvelu", "region": "fi-south", "slots": 17, "connections": 130}]}`
)

func startServer(t *testing.T, cfg Config) (*fakeBackend, string) {
	f := &fakeBackend{config: make(chan intent.Config, 1), plans: map[string]intent.Plan{}}
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
	code, _, _ := runCommand(t, Command{Name: "history", URL: url, Token: readToken})
	must.Eq(t, ExitOK, code) // the server answers
	return f, url
}

func runCommand(t *testing.T, c Command) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = c.Run(t.Context(), &stdout, &stderr)
	for _, secret := range []string{readToken, changeToken} {
		must.StrNotContains(t, stdout.String()+stderr.String(), secret)
	}
	return code, stdout.String(), stderr.String()
}

func writeInputFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "in.jsonc")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a change that was not planned, a plan that is accepted although
// the configuration changed since, and a repeated confirm that changes something
// or fails.
func TestApplyPlanConfirm(t *testing.T) {
	_, url := startServer(t, Config{})
	c := Command{URL: url, Token: changeToken, By: "aino"}
	file := filepath.Join(t.TempDir(), "plan.json")
	apply, plan, confirm := c, c, c
	apply.Name, apply.Argument, apply.PlanFile = "apply", writeInputFile(t, "// comment\n"+declarationText), file
	code, out, _ := runCommand(t, apply)
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, `services[hintapalvelu].slots added as 17`)
	id := strings.Fields(strings.SplitN(out, ",", 2)[0])[1]

	plan.Name, plan.Argument = "plan", id
	code, again, _ := runCommand(t, plan)
	must.Eq(t, ExitOK, code)
	must.Eq(t, out, again)

	for _, arg := range []string{file, id, id} {
		confirm.Name, confirm.Argument = "confirm", arg
		code, out, _ = runCommand(t, confirm)
		must.Eq(t, ExitOK, code)
		must.Eq(t, "accepted as revision 8\nwaiting for 1 nodes: n2\n", out)
	}
	apply.Argument = writeInputFile(t, strings.Replace(declarationText, "17", "18", 1))
	_, first, _ := runCommand(t, apply)
	apply.Argument = writeInputFile(t, strings.Replace(declarationText, "17", "19", 1))
	code, _, _ = runCommand(t, apply)
	must.Eq(t, ExitOK, code)
	confirm.Argument = file // apply has overwritten it with the plan for 19 slots
	code, _, _ = runCommand(t, confirm)
	must.Eq(t, ExitOK, code)
	confirm.Argument = strings.Fields(strings.SplitN(first, ",", 2)[0])[1]
	code, _, errOut := runCommand(t, confirm)
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, errOut, "services[hintapalvelu].slots changed from 17 to 19")
}

// Guards against reading without a valid token, and against changes with the read
// token.
func TestTokenPermissions(t *testing.T) {
	_, url := startServer(t, Config{})
	for token, want := range map[string][2]int{
		readToken: {ExitOK, ExitUnauthorized}, changeToken: {ExitOK, ExitOK},
		"": {ExitUnauthorized, ExitUnauthorized}, changeToken + "x": {ExitUnauthorized, ExitUnauthorized},
	} {
		code, _, _ := runCommand(t, Command{Name: "status", URL: url, Token: token})
		must.Eq(t, want[0], code)
		for _, name := range []string{"drain", "quarantine"} {
			code, _, _ = runCommand(t, Command{Name: name, Argument: "n1", Service: "s", URL: url, Token: token})
			must.Eq(t, want[1], code)
		}
	}
	_, err := NewServer(Config{ReadToken: "same", ChangeToken: "same"}, nil, nil)
	must.Eq(t, core.CodeInvalid, core.CodeOf(err))
}

// Guards against faults of a request that do not name the field and what its
// value must be.
func TestFaultsNameFieldAndLimit(t *testing.T) {
	_, url := startServer(t, Config{MaxBodyBytes: 4096})
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
		{"/v1/confirm", `{}`, "plan_id", "must be given if plan is not, and omitted if plan is given"},
		{"/v1/quarantine", `{}`, "service", "is required"},
	} {
		_, err := doRequest[ChangeResult](t.Context(), c, "POST", e.path, []byte(e.body))
		var body *ErrorBody
		must.True(t, errors.As(err, &body), must.Sprint(e))
		must.Eq(t, "invalid", body.Code)
		must.Eq(t, e.field, body.Faults[0].Field)
		must.StrHasPrefix(t, e.limit, body.Faults[0].Limit)
	}
	_, err = doRequest[ChangeResult](t.Context(), c, "POST", "/v1/apply", make([]byte, 5000))
	must.ErrorContains(t, err, "body: must have at most 4096 bytes")
	_, err = c.History(t.Context(), 0)
	must.Eq(t, ExitRefused, ExitCode(err))
}

// Guards against a change of the exit codes, which scripts rely on, and against
// internals in error texts.
func TestExitCodes(t *testing.T) {
	f, url := startServer(t, Config{})
	code := func(c Command) int {
		c.Token = changeToken
		if c.URL == "" {
			c.URL = url
		}
		code, _, errOut := runCommand(t, c)
		must.Eq(t, code != ExitOK, errOut != "")
		return code
	}
	must.Eq(t, ExitUsage, code(Command{Name: "dance"}))
	must.Eq(t, ExitUsage, code(Command{Name: "apply"}))
	must.Eq(t, ExitUsage, code(Command{Name: "apply", Argument: "absent"}))
	must.Eq(t, ExitUsage, code(Command{Name: "status", Argument: "x"}))
	must.Eq(t, ExitUsage, code(Command{Name: "status", URL: "n1:18002"}))
	must.Eq(t, ExitUnreachable, code(Command{Name: "status", URL: "http://127.0.0.1:1"}))
	must.Eq(t, ExitRefused, code(Command{Name: "plan", Argument: "absent"}))
	must.Eq(t, ExitRefused, code(Command{Name: "undrain", Argument: "n1"}))
	f.err = core.Fail(core.CodeUnavailable, "store does not answer")
	must.Eq(t, ExitUnavailable, code(Command{Name: "status"}))
	f.err = errors.New("secret internals")
	_, _, errOut := runCommand(t, Command{Name: "status", URL: url, Token: readToken})
	must.Eq(t, "internal: unclassified failure\n", errOut)
}

// Guards against a node that is overloaded by operator requests: one above the
// limit is refused.
func TestServerBoundsRequestsInFlight(t *testing.T) {
	f, url := startServer(t, Config{MaxInFlight: 1})
	f.statusEntered, f.statusRelease = make(chan struct{}, 1), make(chan struct{})
	first := make(chan int, 1)
	c := Command{Name: "status", URL: url, Token: readToken}
	go func() { first <- c.Run(context.Background(), &bytes.Buffer{}, &bytes.Buffer{}) }()
	<-f.statusEntered
	code, _, _ := runCommand(t, Command{Name: "history", URL: url, Token: readToken})
	must.Eq(t, ExitUnavailable, code)
	close(f.statusRelease)
	must.Eq(t, ExitOK, <-first)
}

// Guards against results that are missing from the text output, and JSON output
// that does not decode to the result.
func TestTextAndJSONOutput(t *testing.T) {
	_, url := startServer(t, Config{})
	text := func(c Command) string {
		c.URL, c.Token = url, changeToken
		code, out, errOut := runCommand(t, c)
		must.Eq(t, ExitOK, code, must.Sprint(errOut))
		return out
	}
	lines := strings.Split(strings.TrimSpace(text(Command{Name: "status"})), "\n")
	must.Eq(t, []string{"n1", "0", "0", "25.00%", "0s", "serving"}, strings.Fields(lines[len(lines)-1]))
	must.StrContains(t, text(Command{Name: "explain", Argument: "a b/ä&"}), "key \"a b/ä&\" of hintapalvelu has hash")
	must.StrContains(t, text(Command{Name: "history"}), "coordinator lost  a=1 b=2")
	must.StrContains(t, text(Command{Name: "drain", Argument: "n1"}), "accepted as revision 9\nin force everywhere")
	page := filepath.Join(t.TempDir(), "burn.html")
	must.Eq(t, "budget left 90%\n", text(Command{Name: "burn", HTMLFile: page}))
	data, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, "<!doctype html>", string(data))
	var q ChangeResult
	must.NoError(t, json.Unmarshal([]byte(text(Command{Name: "quarantine", Argument: "ff", Lift: true, JSON: true})), &q))
	must.Eq(t, ChangeResult{Revision: 10, InForce: true}, q)
}
