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

// Client calls the operators' API of one node. Errors are *ErrorBody,
// *UsageError, *UnreachableError, or *core.Error with CodeInternal for a response
// that cannot be decoded.
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
		return nil, &UsageError{Argument: "node URL", Requirement: "must be an http URL with a host, such as http://127.0.0.1:18002"}
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

// Apply plans the declaration in text. It changes nothing.
func (c *Client) Apply(ctx context.Context, text []byte) (intent.Plan, error) {
	return doRequest[intent.Plan](ctx, c, http.MethodPost, "/v1/apply", text)
}

// Plan returns a plan that Apply made.
func (c *Client) Plan(ctx context.Context, id string) (intent.Plan, error) {
	return doRequest[intent.Plan](ctx, c, http.MethodGet, "/v1/plan?"+url.Values{"id": {id}}.Encode(), nil)
}

// Confirm puts a plan in force.
func (c *Client) Confirm(ctx context.Context, request ConfirmRequest) (ChangeResult, error) {
	return c.postChange(ctx, "/v1/confirm", request)
}

// Status returns the status of the node and its group.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return doRequest[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Explain returns which node owns a key and why.
func (c *Client) Explain(ctx context.Context, service core.Service, key string) (Explanation, error) {
	q := url.Values{"service": {string(service)}, "key": {key}}
	return doRequest[Explanation](ctx, c, http.MethodGet, "/v1/explain?"+q.Encode(), nil)
}

// History returns the newest events and changes.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	return doRequest[History](ctx, c, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil)
}

// Drain starts a drain, or ends it when start is false.
func (c *Client) Drain(ctx context.Context, request DrainRequest, start bool) (ChangeResult, error) {
	if start {
		return c.postChange(ctx, "/v1/drain", request)
	}
	return c.postChange(ctx, "/v1/undrain", request)
}

// Quarantine starts a quarantine, or ends it when request.Lift is set.
func (c *Client) Quarantine(ctx context.Context, request QuarantineRequest) (ChangeResult, error) {
	return c.postChange(ctx, "/v1/quarantine", request)
}

// Burn returns the report on service levels, with its HTML page if html is set.
func (c *Client) Burn(ctx context.Context, html bool) (BurnReport, error) {
	return doRequest[BurnReport](ctx, c, http.MethodGet, "/v1/burn?html="+strconv.FormatBool(html), nil)
}

func (c *Client) postChange(ctx context.Context, path string, request any) (ChangeResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return ChangeResult{}, &UsageError{Argument: "request", Requirement: "must be encodable: " + err.Error()}
	}
	return doRequest[ChangeResult](ctx, c, http.MethodPost, path, body)
}

func doRequest[T any](ctx context.Context, c *Client, method, path string, body []byte) (out T, err error) {
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
	err = decodeResponse(resp.StatusCode(), resp.Body(), &out)
	return out, err
}

// decodeResponse decodes a successful response into out, and any other into an
// *ErrorBody, which it returns.
func decodeResponse(status int, body []byte, out any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return core.Wrap(core.CodeInternal, err, "response could not be decoded")
		}
		return nil
	}
	var failure errorEnvelope
	if json.Unmarshal(body, &failure) != nil || failure.Error == nil {
		failure.Error = &ErrorBody{Code: "http-" + strconv.Itoa(status), Message: http.StatusText(status)}
	}
	failure.Error.Status = status
	return failure.Error
}
