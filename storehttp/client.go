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

// Config describes the path to the store. Zero fields take the defaults.
type Config struct {
	// BaseURL is the root of the protocol, for example http://10.0.0.1:7000.
	BaseURL string
	// Timeout bounds one call other than a watch; default 2 s.
	Timeout time.Duration
	// WatchWait is the length of one long poll; default 55 s, below the 60 s
	// that the store allows. A poll without a change is repeated.
	WatchWait time.Duration
	// MaxConns bounds the connections to the store; default 16.
	MaxConns int
	// MaxList bounds the answer to a List in bytes; default 32 MiB.
	MaxList int64
}

// Client implements store.Store.
type Client struct {
	cfg  Config
	http *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client. It fails with KindInvalid when the URL is not an
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
	if cfg.MaxList <= 0 {
		cfg.MaxList = 32 << 20
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     cfg.MaxConns,
		MaxIdleConnsPerHost: cfg.MaxConns,
		IdleConnTimeout:     time.Minute,
	}}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type objectJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var o objectJSON
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/object", key: key, query: url.Values{"key": {key}}, out: &o})
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
	err = c.do(ctx, call{
		method: http.MethodPut, path: "/v1/object", key: key, query: url.Values{"key": {key}},
		body: body, write: true, ifVersion: ifVersion, out: &o,
	})
	return o.Version, err
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if ifVersion == 0 {
		return &store.Error{Kind: store.KindInvalid, Key: key}
	}
	return c.do(ctx, call{
		method: http.MethodDelete, path: "/v1/object", key: key, query: url.Values{"key": {key}},
		write: true, ifVersion: ifVersion,
	})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, error) {
	var in struct {
		Objects []objectJSON `json:"objects"`
	}
	err := c.do(ctx, call{
		method: http.MethodGet, path: "/v1/list", key: prefix,
		query: url.Values{"prefix": {prefix}}, limit: c.cfg.MaxList, out: &in,
	})
	if err != nil {
		return nil, err
	}
	out := make([]store.Object, len(in.Objects))
	for i, o := range in.Objects {
		out[i] = store.Object(o)
	}
	return out, nil
}

// Watch implements store.Store with long polls.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.Object, error) {
	query := url.Values{
		"key":     {key},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(c.cfg.WatchWait.Milliseconds(), 10)},
	}
	for {
		var o objectJSON
		err := c.do(ctx, call{
			method: http.MethodGet, path: "/v1/watch", key: key,
			query: query, extra: c.cfg.WatchWait, out: &o,
		})
		if err != nil || o.Version > after {
			return store.Object(o), err
		}
	}
}
