package storehttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/store"
)

// Config configures a Client. Zero fields other than BaseURL take the defaults.
type Config struct {
	// BaseURL is the URL of the store, for example http://10.0.0.1:7000.
	BaseURL string
	// Timeout bounds one call other than a watch; default 2 s.
	Timeout time.Duration
	// WatchWait is the duration of one long poll; default 55 s, which is below
	// the 60 s that the store allows. A poll without a change is repeated.
	WatchWait time.Duration
	// MaxConns bounds the connections to the store; default 16.
	MaxConns int
	// MaxListBytes bounds the response to a List; default 32 MiB.
	MaxListBytes int64
}

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

var _ store.Store = (*Client)(nil)

// New creates a Client. It fails with store.KindInvalid if BaseURL is not an
// absolute http or https URL.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.BaseURL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &store.Error{Kind: store.KindInvalid, Key: "base URL", Cause: err}
	}
	cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	if cfg.Timeout <= 0 {
		cfg.Timeout = 2 * time.Second
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = 55 * time.Second
	}
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = 16
	}
	if cfg.MaxListBytes <= 0 {
		cfg.MaxListBytes = 32 << 20
	}
	return &Client{cfg: cfg, http: &http.Client{
		Transport: &http.Transport{
			// A response does not name its call. On a kept connection, a
			// response that the store writes once more would be taken for the
			// one to the next call.
			DisableKeepAlives:      true,
			MaxConnsPerHost:        cfg.MaxConns,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
			DisableCompression:     true,
		},
		// Following a redirect would turn a write into a read.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// maxResponseHeadBytes bounds the head of one response, informational responses
// included.
const maxResponseHeadBytes = 64 << 10

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type objectJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// isVersionOf reports whether o is a version of the object key.
func (o *objectJSON) isVersionOf(key string) bool { return o.Key == key && o.Version > 0 }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var o objectJSON
	err := c.do(ctx, operation{
		method: http.MethodGet, path: "/v1/object", key: key, query: url.Values{"key": {key}},
		result: &o, isAnswer: func() bool { return o.isVersionOf(key) },
	})
	return store.Object(o), err
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, &store.Error{Kind: store.KindTooLarge, Key: key}
	}
	body, err := json.Marshal(map[string][]byte{"value": value})
	if err != nil {
		return 0, &store.Error{Kind: store.KindInvalid, Key: key, Cause: err}
	}
	var o objectJSON
	err = c.do(ctx, operation{
		method: http.MethodPut, path: "/v1/object", key: key, query: url.Values{"key": {key}},
		body: body, isWrite: true, ifVersion: ifVersion,
		result: &o, isAnswer: func() bool { return o.isVersionOf(key) && o.Version > ifVersion },
	})
	return o.Version, err
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if ifVersion == 0 {
		return &store.Error{Kind: store.KindInvalid, Key: key}
	}
	return c.do(ctx, operation{
		method: http.MethodDelete, path: "/v1/object", key: key, query: url.Values{"key": {key}},
		isWrite: true, ifVersion: ifVersion, mayBeEmpty: true,
	})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, error) {
	var list struct {
		Objects []objectJSON `json:"objects"`
	}
	err := c.do(ctx, operation{
		method: http.MethodGet, path: "/v1/list", key: prefix,
		query: url.Values{"prefix": {prefix}}, maxBytes: c.cfg.MaxListBytes,
		result: &list, isAnswer: func() bool { return list.Objects != nil },
	})
	if err != nil {
		return nil, err
	}
	objects := make([]store.Object, len(list.Objects))
	for i, o := range list.Objects {
		objects[i] = store.Object(o)
	}
	return objects, nil
}

// Watch implements store.Store. It repeats long polls until one reports a
// change.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.Object, error) {
	query := url.Values{
		"key":     {key},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(c.cfg.WatchWait.Milliseconds(), 10)},
	}
	for {
		var o objectJSON
		err := c.do(ctx, operation{
			method: http.MethodGet, path: "/v1/watch", key: key,
			query: query, extraTimeout: c.cfg.WatchWait, mayBeEmpty: true,
			result: &o, isAnswer: func() bool { return o.isVersionOf(key) && o.Version > after },
		})
		if err != nil || o.Version > after {
			return store.Object(o), err
		}
	}
}
