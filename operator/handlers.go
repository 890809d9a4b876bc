package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// maxHistoryLimit bounds the limit of a history request. The journal of events
// is bounded as well.
const maxHistoryLimit = 1000

func (s *Server) handleApply(ctx context.Context, c *app.RequestContext) (any, error) {
	body, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	declaration, err := intent.Decode(body)
	if err != nil {
		return nil, err
	}
	return asAny(s.backend.Apply(ctx, declaration))
}

func (s *Server) handlePlan(ctx context.Context, c *app.RequestContext) (any, error) {
	id, err := requireParam("id", c.Query("id"))
	if err != nil {
		return nil, err
	}
	return asAny(s.backend.Plan(ctx, id))
}

func (s *Server) handleConfirm(ctx context.Context, c *app.RequestContext) (any, error) {
	var request ConfirmRequest
	if err := s.decodeBody(c, &request); err != nil {
		return nil, err
	}
	if (request.PlanID == "") == (request.Plan == nil) {
		return nil, intent.Faults{{Field: "plan_id", Limit: "must be given if plan is not, and omitted if plan is given"}}
	}
	return asAny(s.backend.Confirm(ctx, request))
}

func (s *Server) handleStatus(ctx context.Context, _ *app.RequestContext) (any, error) {
	return asAny(s.backend.Status(ctx))
}

func (s *Server) handleExplain(ctx context.Context, c *app.RequestContext) (any, error) {
	service, err := requireParam("service", c.Query("service"))
	if err != nil {
		return nil, err
	}
	key, err := requireParam("key", c.Query("key"))
	if err != nil {
		return nil, err
	}
	return asAny(s.backend.Explain(ctx, core.Service(service), key))
}

func (s *Server) handleHistory(ctx context.Context, c *app.RequestContext) (any, error) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", "100"))
	if err != nil || limit < 1 || limit > maxHistoryLimit {
		return nil, intent.Faults{{Field: "limit", Limit: "must be a whole number from 1 to " + strconv.Itoa(maxHistoryLimit)}}
	}
	return asAny(s.backend.History(ctx, limit))
}

func (s *Server) handleDrain(start bool) handler {
	return func(ctx context.Context, c *app.RequestContext) (any, error) {
		var request DrainRequest
		if err := s.decodeBody(c, &request); err != nil {
			return nil, err
		}
		if err := requireFields("service", string(request.Service), "node", string(request.Node)); err != nil {
			return nil, err
		}
		return asAny(s.backend.Drain(ctx, request, start))
	}
}

func (s *Server) handleQuarantine(ctx context.Context, c *app.RequestContext) (any, error) {
	var request QuarantineRequest
	if err := s.decodeBody(c, &request); err != nil {
		return nil, err
	}
	if err := requireFields("service", string(request.Service), "fingerprint", request.Fingerprint); err != nil {
		return nil, err
	}
	return asAny(s.backend.Quarantine(ctx, request))
}

func (s *Server) handleBurn(ctx context.Context, c *app.RequestContext) (any, error) {
	html, err := strconv.ParseBool(c.DefaultQuery("html", "false"))
	if err != nil {
		return nil, intent.Faults{{Field: "html", Limit: "must be true or false"}}
	}
	return asAny(s.backend.Burn(ctx, html))
}

// asAny returns a typed result as the result of a handler.
func asAny[T any](v T, err error) (any, error) { return v, err }

func requireParam(field, v string) (string, error) { return v, requireFields(field, v) }

// requireFields returns intent.Faults for the empty fields. Its arguments are
// pairs of a field name and a value.
func requireFields(pairs ...string) error {
	var faults intent.Faults
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			faults = append(faults, intent.Fault{Field: pairs[i], Limit: "is required"})
		}
	}
	if faults != nil {
		return faults
	}
	return nil
}

// readBody reads the request body. It is called only after the token was checked,
// so that unauthenticated clients cannot make the node buffer a large body.
func (s *Server) readBody(c *app.RequestContext) ([]byte, error) {
	limit := int64(s.cfg.MaxBodyBytes)
	data, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), limit+1))
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "request body could not be read")
	}
	if int64(len(data)) > limit {
		return nil, intent.Faults{{Field: "body", Limit: "must have at most " + strconv.Itoa(s.cfg.MaxBodyBytes) + " bytes"}}
	}
	return data, nil
}

// decodeBody decodes the request body as decodeObject does.
func (s *Server) decodeBody(c *app.RequestContext, target any) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	return decodeObject(body, target)
}

// decodeObject decodes one JSON object without unknown fields into target. The
// error is intent.Faults.
func decodeObject(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil && decoder.Decode(&struct{}{}) != io.EOF {
		return intent.Faults{{Field: "body", Limit: "must be one JSON object"}}
	}
	var mistyped *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mistyped) && mistyped.Field != "":
		return intent.Faults{{Field: mistyped.Field, Limit: "must be a JSON " + mistyped.Type.Kind().String()}}
	}
	// encoding/json has no error type for an unknown field, only this text.
	if name, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		return intent.Faults{{Field: strings.Trim(name, `"`), Limit: "is not a known field"}}
	}
	return intent.Faults{{Field: "body", Limit: "must be one JSON object"}}
}
