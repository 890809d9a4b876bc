package peers

import (
	"math"
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

// Header fields between nodes. Callers cannot set them: the node where a
// request enters drops them. Names that end in -Us hold microseconds.
const (
	hopPrefix  = "Marjoram-Hop-"
	hopID      = "Marjoram-Hop-Id"
	hopService = "Marjoram-Hop-Service"
	hopKey     = "Marjoram-Hop-Key"
	hopRoute   = "Marjoram-Hop-Route"
	// hopIdempotent is "1" if the request may run more than once.
	hopIdempotent = "Marjoram-Hop-Idempotent"
	hopPriority   = "Marjoram-Hop-Priority"
	// hopCall is "1" if a running request has made this one.
	hopCall = "Marjoram-Hop-Call"
	// hopTimeLeft and hopTargetLeft are the times from sending until the
	// deadline and until the target time of the request.
	hopTimeLeft   = "Marjoram-Hop-Left-Us"
	hopTargetLeft = "Marjoram-Hop-Target-Us"
	hopInstance   = "Marjoram-Hop-Instance"
	// hopOrigin is the service of the backend server on the VM where the
	// request entered.
	hopOrigin  = "Marjoram-Hop-Origin"
	hopAttempt = "Marjoram-Hop-Attempt"
	// hopRateLimit is the limit of requests a second that the backend server named
	// in its last answer to the sender; it is missing if that named none.
	hopRateLimit = "Marjoram-Hop-Rate-Limit"
	// hopCode is the number of the core.Code of a failure; only failures have
	// it.
	hopCode       = "Marjoram-Hop-Code"
	hopDetail     = "Marjoram-Hop-Detail"
	hopRetryAfter = "Marjoram-Hop-Retry-Us"
	// hopArrived is set if a backend server received the request and stated
	// that it did not run it.
	hopArrived = "Marjoram-Hop-Arrived"
	// hopTiming tells how long a failed request waited before it was read, and
	// how long it was at the node, both in microseconds.
	hopTiming = "Marjoram-Hop-Timing"
	// hopLoad holds the node's usage: running and waiting requests of the
	// backend server, mean service time in microseconds, failed requests per
	// mille, share of the link in use per mille, mean delay of requests before
	// they are read in microseconds, and bytes of bodies that are not read yet.
	hopLoad = "Marjoram-Hop-Load"
	// hopNumber is the Number of the request's core.SendID.
	hopNumber = "Marjoram-Hop-Number"
	// hopSender is the incarnation of the sending process, and hopSentAt the
	// time of sending on its clock, in nanoseconds. The response echoes
	// hopSentAt, which no two requests on a connection have in common.
	hopSender = "Marjoram-Hop-From"
	hopSentAt = "Marjoram-Hop-Sent"
	// statusFailed is the HTTP status of every failure between nodes.
	statusFailed = http.StatusServiceUnavailable
)

// LoadSource provides the usage that responses to other nodes report.
type LoadSource interface {
	// Load returns the current usage of the backend server on this VM.
	Load() fleet.Usage
}

// InboundDialect implements frontend.Dialect for requests that other nodes
// forward.
type InboundDialect struct {
	LoadSource LoadSource
	// DelayEstimator estimates the delays by which the deadlines of late
	// requests are corrected; nil leaves them as sent.
	DelayEstimator *DelayEstimator
}

var _ frontend.Dialect = InboundDialect{}

// ParseHead implements frontend.Dialect.
func (i InboundDialect) ParseHead(h core.RequestHead, now time.Time) (*core.Request, error) {
	req := &core.Request{Method: h.Method, Path: h.Path, Body: core.NoBody, ReceivedAt: now, ReadDelay: i.estimateDelay(h.Fields)}
	for _, f := range h.Fields {
		if f.Name == hopSentAt {
			req.SendMark = f.Value // also echoed if the head is invalid
		}
	}
	now = now.Add(-req.ReadDelay)
	for _, f := range h.Fields {
		if !strings.HasPrefix(f.Name, hopPrefix) {
			req.Header = append(req.Header, f)
			continue
		}
		if err := parseHopField(req, f, now); err != nil {
			return req, err
		}
	}
	if req.Service == "" {
		return req, core.Fail(core.CodeInvalid, "header field Marjoram-Hop-Service is missing")
	}
	req.Header = core.StripHopByHopFields(req.Header)
	return req, nil
}

// estimateDelay returns how long a request waited before it was read. The times
// in its header fields are relative to when it was sent.
func (i InboundDialect) estimateDelay(fields []core.Field) time.Duration {
	if i.DelayEstimator == nil {
		return 0
	}
	var sender uint64
	var sentAt int64
	for _, f := range fields {
		var err error
		switch f.Name {
		case hopSender:
			sender, err = strconv.ParseUint(f.Value, 10, 64)
		case hopSentAt:
			sentAt, err = strconv.ParseInt(f.Value, 10, 64)
		}
		if err != nil {
			return 0 // treated like an older sender, which does not send its clock
		}
	}
	if sender == 0 || sentAt == 0 {
		return 0
	}
	return i.DelayEstimator.estimate(core.Incarnation(sender), clock.Instant(sentAt))
}

func parseHopField(req *core.Request, f core.Field, now time.Time) error {
	var n int64
	switch f.Name {
	case hopSender, hopNumber:
		// A malformed one reads as 0: the request is served, but cannot be
		// withdrawn.
		v, _ := strconv.ParseUint(f.Value, 10, 64)
		if f.Name == hopSender {
			req.SendID.Sender = core.Incarnation(v)
		} else {
			req.SendID.Number = v
		}
	case hopPriority, hopTimeLeft, hopTargetLeft, hopAttempt:
		v, err := strconv.ParseInt(f.Value, 10, 64)
		if err != nil {
			return core.Wrap(core.CodeInvalid, err, "not an integer: "+f.Name)
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
	case hopIdempotent:
		req.Idempotent = f.Value == "1"
	case hopCall:
		req.Call = f.Value == "1"
	case hopInstance:
		req.Instance = f.Value
	case hopRateLimit:
		req.RateLimit = decodeRateLimit(f.Value)
	case hopOrigin:
		req.Origin = core.Service(f.Value)
	case hopPriority:
		req.Priority = int(n)
	case hopAttempt:
		req.Attempt = int(n)
	case hopTimeLeft:
		req.Deadline = now.Add(time.Duration(n) * time.Microsecond)
	case hopTargetLeft:
		req.TargetTime = now.Add(time.Duration(n) * time.Microsecond)
	}
	return nil
}

// EncodeFailure implements frontend.Dialect.
func (i InboundDialect) EncodeFailure(req *core.Request, e *core.Error) frontend.FailureResponse {
	fields := i.appendNodeFields([]core.Field{
		{Name: hopCode, Value: strconv.Itoa(int(e.Code))},
		{Name: hopTiming, Value: encodeMicros(req.ReadDelay) + "," + encodeMicros(time.Since(req.ReceivedAt))},
	}, req)
	if e.Detail != "" {
		fields = append(fields, core.Field{Name: hopDetail, Value: e.Detail})
	}
	if e.RetryAfter > 0 {
		fields = append(fields, core.Field{Name: hopRetryAfter, Value: encodeMicros(e.RetryAfter)})
	}
	if e.ReachedBackend {
		fields = append(fields, core.Field{Name: hopArrived, Value: "1"})
	}
	return frontend.FailureResponse{Status: statusFailed, Fields: fields}
}

func encodeMicros(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// ResponseFields implements frontend.Dialect.
func (i InboundDialect) ResponseFields(req *core.Request, _ *core.Response, fields []core.Field) []core.Field {
	out := make([]core.Field, 0, len(fields)+2)
	for _, f := range fields {
		if !strings.HasPrefix(f.Name, hopPrefix) {
			out = append(out, f)
		}
	}
	return i.appendNodeFields(out, req)
}

// appendNodeFields appends the fields of every response to another node.
func (i InboundDialect) appendNodeFields(fields []core.Field, req *core.Request) []core.Field {
	fields = append(fields, core.Field{Name: hopLoad, Value: i.encodeLoad()})
	if req.SendMark != "" {
		fields = append(fields, core.Field{Name: hopSentAt, Value: req.SendMark})
	}
	return fields
}

// perMille converts a share to the unit of hopLoad.
const perMille = 1000

func (i InboundDialect) encodeLoad() string {
	u := i.LoadSource.Load()
	return strings.Join([]string{
		strconv.Itoa(u.Running), strconv.Itoa(u.Waiting), encodeMicros(u.MeanServiceTime), strconv.Itoa(int(perMille * u.FailedShare)),
		strconv.Itoa(int(perMille * u.LinkShare)), encodeMicros(u.ReadDelay), strconv.FormatInt(u.UnreadBodyBytes, 10),
	}, ",")
}

// Sender identifies the sending process and its clock to other nodes, which
// estimate delays from the time of sending.
type Sender struct {
	Incarnation core.Incarnation
	Clock       clock.Clock
}

// outboundDialect implements gate.Dialect for requests to another node.
type outboundDialect struct{ Sender }

var _ gate.Dialect = outboundDialect{}

// IsReserved implements gate.Dialect.
func (outboundDialect) IsReserved(name string) bool { return strings.HasPrefix(name, hopPrefix) }

// AddRequestFields implements gate.Dialect.
func (outboundDialect) AddRequestFields(h http.Header, req *core.Request) {
	setField := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	setField(hopID, req.ID)
	setField(hopService, string(req.Service))
	setField(hopKey, req.Key)
	setField(hopRoute, req.Route)
	setField(hopInstance, req.Instance)
	setField(hopOrigin, string(req.Origin))
	setField(hopPriority, strconv.Itoa(req.Priority))
	setField(hopAttempt, strconv.Itoa(req.Attempt))
	if req.Idempotent {
		setField(hopIdempotent, "1")
	}
	if req.Call {
		setField(hopCall, "1")
	}
	if req.RateLimit > 0 {
		setField(hopRateLimit, strconv.FormatFloat(req.RateLimit, 'g', -1, 64))
	}
	if !req.SendID.IsZero() {
		setField(hopNumber, strconv.FormatUint(req.SendID.Number, 10))
	}
}

// AddSendTimeFields implements gate.Dialect.
func (o outboundDialect) AddSendTimeFields(h http.Header, req *core.Request, _ gate.Permit) {
	h[hopSender] = []string{strconv.FormatUint(uint64(o.Incarnation), 10)}
	h[hopSentAt] = []string{strconv.FormatInt(int64(o.Clock.Now()), 10)}
	setTimeLeft := func(name string, at time.Time) {
		if !at.IsZero() {
			h[name] = []string{strconv.FormatInt(time.Until(at).Microseconds(), 10)}
		}
	}
	setTimeLeft(hopTimeLeft, req.Deadline)
	setTimeLeft(hopTargetLeft, req.TargetTime)
}

// Attribute implements gate.Dialect. Nodes of earlier builds do not echo the time
// of sending. A response without the load does not come from a node's dialect.
func (outboundDialect) Attribute(_ *core.Request, sent http.Header, _ int, h http.Header) gate.Attribution {
	switch echo := h[hopSentAt]; {
	case len(echo) > 1 || len(h[hopLoad]) != 1:
		return gate.Unattributable
	case len(echo) == 1 && echo[0] != sent.Get(hopSentAt):
		return gate.Foreign
	}
	return gate.Own
}

// MayResend implements gate.Dialect. A request that is sent again has another time
// of sending, so it can take the same connection.
func (outboundDialect) MayResend(int, http.Header) bool { return false }

// ShowsBodyRead implements gate.Dialect. A node that responds before it has read a
// body announces that it closes the connection.
func (outboundDialect) ShowsBodyRead(int, http.Header) bool { return true }

// splitResponse returns the failure that another node's response reports, or
// nil, and the reported usage, or nil when it is missing or malformed. It
// removes the fields between nodes from resp, which leaves the backend server's
// response.
func splitResponse(resp *core.Response) (*core.Error, *fleet.Usage) {
	var failure *core.Error
	var load *fleet.Usage
	for _, f := range resp.Header {
		switch f.Name {
		case hopLoad:
			load = decodeLoad(f.Value)
		case hopCode:
			failure = parseFailure(resp.Header)
		}
	}
	resp.Header = slices.DeleteFunc(resp.Header, func(f core.Field) bool { return strings.HasPrefix(f.Name, hopPrefix) })
	return failure, load
}

// parseFailure parses the failure in the fields of a response. A missing or
// malformed code becomes CodeUnknown, since it does not tell whether the
// request ran.
func parseFailure(fields []core.Field) *core.Error {
	e := &core.Error{Code: core.CodeUnknown}
	for _, f := range fields {
		switch f.Name {
		case hopCode:
			if n, err := strconv.ParseUint(f.Value, 10, 8); err == nil && core.Code(n).Valid() {
				e.Code = core.Code(n)
			}
		case hopDetail:
			e.Detail = f.Value
		case hopRetryAfter:
			e.RetryAfter = decodeMicros(f.Value)
		case hopArrived:
			e.ReachedBackend = true
		case hopTiming:
			late, took, _ := strings.Cut(f.Value, ",")
			e.PeerReadDelay, e.PeerTime = decodeMicros(late), decodeMicros(took)
		}
	}
	return e
}

// decodeMicros decodes a time in microseconds. A malformed one counts as 0.
func decodeMicros(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// decodeRateLimit decodes the value of hopRateLimit. A malformed one counts as 0,
// which is no limit.
func decodeRateLimit(text string) float64 {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		return 0
	}
	return limit
}

// oldLoadValues is the number of values in hopLoad of a build that does not
// measure its link.
const oldLoadValues = 4

// decodeLoad decodes the value of hopLoad. It returns nil when it is malformed.
func decodeLoad(text string) *fleet.Usage {
	values := strings.Split(text, ",")
	var numbers [7]int
	if len(values) < oldLoadValues || len(values) > len(numbers) {
		return nil
	}
	for i, value := range values {
		v, err := strconv.Atoi(value)
		if err != nil {
			return nil
		}
		numbers[i] = v
	}
	return &fleet.Usage{
		Running: numbers[0], Waiting: numbers[1], MeanServiceTime: time.Duration(numbers[2]) * time.Microsecond, FailedShare: float64(numbers[3]) / perMille,
		LinkShare: float64(numbers[4]) / perMille, ReadDelay: time.Duration(numbers[5]) * time.Microsecond,
		UnreadBodyBytes: int64(numbers[6]),
	}
}
