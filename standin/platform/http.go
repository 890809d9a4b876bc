package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"marjoramshore.example/store"
)

// maxBodyBytes leaves room for a value of the largest size in base64.
const maxBodyBytes = store.MaxValueBytes/3*4 + 4096

// maxWatchWait bounds the wait of one long poll.
const maxWatchWait = 60 * time.Second

type objectJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type errorJSON struct {
	Kind    string `json:"kind"`
	Key     string `json:"key"`
	Current uint64 `json:"current,omitempty"`
}

// Handler serves a store over HTTP. The protocol:
//
//	GET    /v1/object?key=K                         200 {key,version,value}
//	PUT    /v1/object?key=K   If-Match: "V"         200 {key,version}; body {"value":base64}
//	                          If-None-Match: *      creates
//	DELETE /v1/object?key=K   If-Match: "V"         204
//	GET    /v1/list?prefix=P                        200 {"objects":[{key,version,value}...]}
//	GET    /v1/watch?key=K&after=V&wait_ms=N        200 {key,version,value}, or 204 when
//	                                                nothing changed for N ms (at most 60,000)
//
// Values are base64 in JSON and at most 1 MiB before encoding. Failures carry
// {"kind","key","current"}: 404 not-found, 412 conflict, 413 too-large, 400
// invalid, 503 unavailable (the call had no effect). When the answer to a
// write is lost, the connection breaks.
func Handler(s store.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/object", func(w http.ResponseWriter, r *http.Request) {
		o, err := s.Get(r.Context(), r.URL.Query().Get("key"))
		writeReply(w, objectJSON(o), err)
	})
	mux.HandleFunc("PUT /v1/object", func(w http.ResponseWriter, r *http.Request) { servePut(s, w, r) })
	mux.HandleFunc("DELETE /v1/object", func(w http.ResponseWriter, r *http.Request) { serveDelete(s, w, r) })
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) { serveList(s, w, r) })
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, r *http.Request) { serveWatch(s, w, r) })
	return mux
}

func servePut(s store.Store, w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	version, ok := requiredVersion(r)
	if !ok {
		writeReply(w, nil, &store.Error{Kind: store.KindInvalid, Key: key})
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(body) > maxBodyBytes {
		writeReply(w, nil, &store.Error{Kind: store.KindTooLarge, Key: key})
		return
	}
	var in objectJSON
	if json.Unmarshal(body, &in) != nil {
		writeReply(w, nil, &store.Error{Kind: store.KindInvalid, Key: key})
		return
	}
	version, err = s.Put(r.Context(), key, in.Value, version)
	writeReply(w, map[string]any{"key": key, "version": version}, err)
}

func serveDelete(s store.Store, w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	version, ok := requiredVersion(r)
	if !ok {
		writeReply(w, nil, &store.Error{Kind: store.KindInvalid, Key: key})
		return
	}
	writeReply(w, nil, s.Delete(r.Context(), key, version))
}

func serveList(s store.Store, w http.ResponseWriter, r *http.Request) {
	list, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	out := make([]objectJSON, len(list))
	for i, o := range list {
		out[i] = objectJSON(o)
	}
	writeReply(w, map[string]any{"objects": out}, err)
}

func serveWatch(s store.Store, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait := maxWatchWait
	if ms, err := strconv.Atoi(q.Get("wait_ms")); err == nil && ms >= 0 {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	o, err := s.Watch(ctx, q.Get("key"), after)
	if ctx.Err() != nil && r.Context().Err() == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeReply(w, objectJSON(o), err)
}

// requiredVersion returns the version that a write requires, 0 for a key that
// must not exist, and false when the header fields are invalid.
func requiredVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	text, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return 0, false
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return v, err == nil && v > 0
}

var statusOf = map[store.Kind]int{
	store.KindNotFound:    http.StatusNotFound,
	store.KindConflict:    http.StatusPreconditionFailed,
	store.KindTooLarge:    http.StatusRequestEntityTooLarge,
	store.KindInvalid:     http.StatusBadRequest,
	store.KindUnavailable: http.StatusServiceUnavailable,
}

func writeReply(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	var e *store.Error
	if errors.As(err, &e) {
		if e.MayHaveApplied {
			panic(http.ErrAbortHandler)
		}
		status = statusOf[e.Kind]
		v = errorJSON{Kind: e.Kind.String(), Key: e.Key, Current: e.Current}
	}
	if v == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
