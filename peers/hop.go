package peers

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/frontend"
	"marjoramshore.example/gate"
)

// Header fields between nodes. Callers cannot set them: the node that a request
// enters drops them.
const (
	hopPrefix    = "Marjoram-Hop-"
	hopID        = "Marjoram-Hop-Id"
	hopService   = "Marjoram-Hop-Service"
	hopKey       = "Marjoram-Hop-Key"
	hopRoute     = "Marjoram-Hop-Route"
	hopRepeat    = "Marjoram-Hop-Idempotent"
	hopPriority  = "Marjoram-Hop-Priority"
	hopLeft      = "Marjoram-Hop-Left-Us"
	hopTarget    = "Marjoram-Hop-Target-Us"
	hopInstance  = "Marjoram-Hop-Instance"
	hopOrigin    = "Marjoram-Hop-Origin"
	hopAttempt   = "Marjoram-Hop-Attempt"
	hopCode      = "Marjoram-Hop-Code"
	hopDetail    = "Marjoram-Hop-Detail"
	hopRetry     = "Marjoram-Hop-Retry-Us"
	hopArrived   = "Marjoram-Hop-Arrived"
	hopLoad      = "Marjoram-Hop-Load"
	hopFrom      = "Marjoram-Hop-From"
	hopSent      = "Marjoram-Hop-Sent"
	statusFailed = http.StatusServiceUnavailable
)

// Loads tells the load that answers to other nodes report.
type Loads interface {
	// Load returns the present usage of the backend server.
	Load() fleet.Usage
}

// Inbound is the frontend's dialect for requests of other nodes.
type Inbound struct {
	Loads Loads
	// Delays corrects the time that late requests have left; nil corrects none.
	Delays *Delays
}

var _ frontend.Dialect = Inbound{}

// ParseHead implements frontend.Dialect.
func (i Inbound) ParseHead(h core.RequestHead, now time.Time) (*core.Request, error) {
	req := &core.Request{Method: h.Method, Path: h.Path, Body: core.NoBody}
	now = now.Add(-i.delay(h.Fields))
	for _, f := range h.Fields {
		if !strings.HasPrefix(f.Name, hopPrefix) {
			req.Header = append(req.Header, f)
			continue
		}
		if err := parseHop(req, f, now); err != nil {
			return req, err
		}
	}
	if req.Service == "" {
		return req, core.Fail(core.CodeInvalid, "not a request of another node")
	}
	req.Header = core.StripHopByHopFields(req.Header)
	return req, nil
}

// delay returns how long a request waited before it was read. The time that it
// has left is relative to when it was sent.
func (i Inbound) delay(fields []core.Field) time.Duration {
	if i.Delays == nil {
		return 0
	}
	var from uint64
	var sent int64
	for _, f := range fields {
		var err error
		switch f.Name {
		case hopFrom:
			from, err = strconv.ParseUint(f.Value, 10, 64)
		case hopSent:
			sent, err = strconv.ParseInt(f.Value, 10, 64)
		}
		if err != nil {
			return 0 // an older sender, or none that states its clock
		}
	}
	if from == 0 || sent == 0 {
		return 0
	}
	return i.Delays.of(core.Incarnation(from), clock.Instant(sent))
}

func parseHop(req *core.Request, f core.Field, now time.Time) error {
	var n int64
	switch f.Name {
	case hopPriority, hopLeft, hopTarget, hopAttempt:
		v, err := strconv.ParseInt(f.Value, 10, 64)
		if err != nil {
			return core.Wrap(core.CodeInvalid, err, "bad number: "+f.Name)
		}
		n = v
	}
	switch f.Name {
	case hopID:
		req.ID = f.Value
	case hopService:
		req.Service = core.Service(f.Value)
	case hopKey:
		req.Key = f.Value
	case hopRoute:
		req.Route = f.Value
	case hopRepeat:
		req.Idempotent = f.Value == "1"
	case hopInstance:
		req.Instance = f.Value
	case hopOrigin:
		req.Origin = core.Service(f.Value)
	case hopPriority:
		req.Priority = int(n)
	case hopAttempt:
		req.Attempt = int(n)
	case hopLeft:
		req.Deadline = now.Add(time.Duration(n) * time.Microsecond)
	case hopTarget:
		req.TargetTime = now.Add(time.Duration(n) * time.Microsecond)
	}
	return nil
}

// EncodeFailure implements frontend.Dialect.
func (i Inbound) EncodeFailure(_ *core.Request, e *core.Error) frontend.FailureResponse {
	fields := []core.Field{
		{Name: hopCode, Value: strconv.Itoa(int(e.Code))},
		{Name: hopLoad, Value: i.load()},
	}
	if e.Detail != "" {
		fields = append(fields, core.Field{Name: hopDetail, Value: e.Detail})
	}
	if e.RetryAfter > 0 {
		fields = append(fields, core.Field{Name: hopRetry, Value: strconv.FormatInt(e.RetryAfter.Microseconds(), 10)})
	}
	if e.ReachedBackend {
		fields = append(fields, core.Field{Name: hopArrived, Value: "1"})
	}
	return frontend.FailureResponse{Status: statusFailed, Fields: fields}
}

// ResponseFields implements frontend.Dialect.
func (i Inbound) ResponseFields(_ *core.Request, _ *core.Response, fields []core.Field) []core.Field {
	out := make([]core.Field, 0, len(fields)+1)
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, hopPrefix) {
			out = append(out, f)
		}
	}
	return append(out, core.Field{Name: hopLoad, Value: i.load()})
}

// perMille scales the faults in a field.
const perMille = 1000

func (i Inbound) load() string {
	u := i.Loads.Load()
	return strconv.Itoa(u.Running) + "," + strconv.Itoa(u.Waiting) + "," +
		strconv.FormatInt(u.MeanServiceTime.Microseconds(), 10) + "," + strconv.Itoa(int(perMille*u.FailedShare))
}

// Origin tells other nodes whose clock the time of sending is read from.
type Origin struct {
	Incarnation core.Incarnation
	Clock       clock.Clock
}

// outbound is the gate's dialect for requests to another node.
type outbound struct{ Origin }

var _ gate.Dialect = outbound{}

// Reserved implements gate.Dialect.
func (outbound) Reserved(name string) bool { return strings.HasPrefix(name, hopPrefix) }

// Describe implements gate.Dialect.
func (outbound) Describe(h http.Header, req *core.Request) {
	set := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	set(hopID, req.ID)
	set(hopService, string(req.Service))
	set(hopKey, req.Key)
	set(hopRoute, req.Route)
	set(hopInstance, req.Instance)
	set(hopOrigin, string(req.Origin))
	set(hopPriority, strconv.Itoa(req.Priority))
	set(hopAttempt, strconv.Itoa(req.Attempt))
	if req.Idempotent {
		set(hopRepeat, "1")
	}
}

// Stamp implements gate.Dialect.
func (o outbound) Stamp(h http.Header, req *core.Request, _ gate.Permit) {
	h[hopFrom] = []string{strconv.FormatUint(uint64(o.Incarnation), 10)}
	h[hopSent] = []string{strconv.FormatInt(int64(o.Clock.Now()), 10)}
	left := func(name string, at time.Time) {
		if !at.IsZero() {
			h[name] = []string{strconv.FormatInt(time.Until(at).Microseconds(), 10)}
		}
	}
	left(hopLeft, req.Deadline)
	left(hopTarget, req.TargetTime)
}

// Answers implements gate.Dialect. Nodes answer each request once, in order.
func (outbound) Answers(*core.Request, int, http.Header) bool { return true }

// unpack splits an answer of another node into the response of the backend
// server or the failure, and the load that it reports.
func unpack(resp *core.Response) (*core.Error, *fleet.Usage) {
	var failure *core.Error
	var load *fleet.Usage
	for _, f := range resp.Header {
		switch f.Name {
		case hopLoad:
			load = parseLoad(f.Value)
		case hopCode:
			failure = failureOf(resp.Header)
		}
	}
	resp.Header = slices.DeleteFunc(resp.Header, func(f core.Field) bool { return strings.HasPrefix(f.Name, hopPrefix) })
	return failure, load
}

// failureOf reads the failure in the fields of an answer. A code that cannot be
// read says nothing of whether the request ran.
func failureOf(fields []core.Field) *core.Error {
	e := &core.Error{Code: core.CodeUnknown}
	for _, f := range fields {
		switch f.Name {
		case hopCode:
			if n, err := strconv.ParseUint(f.Value, 10, 8); err == nil && core.Code(n).Valid() {
				e.Code = core.Code(n)
			}
		case hopDetail:
			e.Detail = f.Value
		case hopRetry:
			if n, err := strconv.ParseInt(f.Value, 10, 64); err == nil {
				e.RetryAfter = time.Duration(n) * time.Microsecond
			}
		case hopArrived:
			e.ReachedBackend = true
		}
	}
	return e
}

// parseLoad reads the usage in an answer, or returns nil when it is malformed.
func parseLoad(text string) *fleet.Usage {
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return nil
	}
	var n [4]int
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil {
			return nil
		}
		n[i] = v
	}
	return &fleet.Usage{
		Running: n[0], Waiting: n[1], MeanServiceTime: time.Duration(n[2]) * time.Microsecond, FailedShare: float64(n[3]) / perMille,
	}
}
