package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// Client calls the API of one node. Failures are *ErrorBody, *UsageError or
// *UnreachableError.
type Client struct {
	url     string
	token   string
	timeout time.Duration
	http    *client.Client
}

// NewClient returns a client for the operator address of a node, such as
// http://127.0.0.1:18002. A timeout of zero means 15 s.
func NewClient(baseURL, token string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || u.Scheme != "http" {
		return nil, &UsageError{Argument: "node URL", Requirement: "must be such as http://127.0.0.1:18002"}
	}
	if timeout <= 0 {
		timeout = 15 * time.Second
	}
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(timeout))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "make HTTP client")
	}
	return &Client{url: strings.TrimSuffix(baseURL, "/"), token: token, timeout: timeout, http: c}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply plans a declaration given as text.
func (c *Client) Apply(ctx context.Context, text []byte) (intent.Plan, error) {
	return do[intent.Plan](ctx, c, http.MethodPost, "/v1/apply", text)
}

// Plan returns a plan that Apply made.
func (c *Client) Plan(ctx context.Context, id string) (intent.Plan, error) {
	return do[intent.Plan](ctx, c, http.MethodGet, "/v1/plan?"+url.Values{"id": {id}}.Encode(), nil)
}

// Confirm confirms a plan.
func (c *Client) Confirm(ctx context.Context, in ConfirmRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/confirm", in)
}

// Status describes the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return do[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Explain says who owns a key and why.
func (c *Client) Explain(ctx context.Context, service core.Service, key string) (Explanation, error) {
	q := url.Values{"service": {string(service)}, "key": {key}}
	return do[Explanation](ctx, c, http.MethodGet, "/v1/explain?"+q.Encode(), nil)
}

// History returns the newest events and changes.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	return do[History](ctx, c, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil)
}

// Drain starts or ends a drain.
func (c *Client) Drain(ctx context.Context, in DrainRequest, on bool) (ChangeResult, error) {
	if on {
		return c.change(ctx, "/v1/drain", in)
	}
	return c.change(ctx, "/v1/undrain", in)
}

// Quarantine starts or lifts a quarantine.
func (c *Client) Quarantine(ctx context.Context, in QuarantineRequest) (ChangeResult, error) {
	return c.change(ctx, "/v1/quarantine", in)
}

// Burn returns the report on service levels.
func (c *Client) Burn(ctx context.Context, html bool) (BurnReport, error) {
	return do[BurnReport](ctx, c, http.MethodGet, "/v1/burn?html="+strconv.FormatBool(html), nil)
}

func (c *Client) change(ctx context.Context, path string, in any) (ChangeResult, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return ChangeResult{}, &UsageError{Argument: "request", Requirement: "must be encodable: " + err.Error()}
	}
	return do[ChangeResult](ctx, c, http.MethodPost, path, body)
}

func do[T any](ctx context.Context, c *Client, method, path string, body []byte) (out T, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(c.url + path)
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	deadline, _ := ctx.Deadline()
	if err := c.http.DoDeadline(ctx, req, resp, deadline); err != nil {
		return out, &UnreachableError{URL: c.url, Cause: err}
	}
	err = decodeAnswer(resp.StatusCode(), resp.Body(), &out)
	return out, err
}

func decodeAnswer(status int, body []byte, out any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return core.Wrap(core.CodeInternal, err, "answer not understood")
		}
		return nil
	}
	var in envelope
	if json.Unmarshal(body, &in) != nil || in.Error == nil {
		in.Error = &ErrorBody{Code: "http-" + strconv.Itoa(status), Message: http.StatusText(status)}
	}
	in.Error.Status = status
	return in.Error
}
