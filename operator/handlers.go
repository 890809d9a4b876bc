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

// maxHistory bounds one answer; the journal is bounded as well.
const maxHistory = 1000

func (s *Server) apply(ctx context.Context, c *app.RequestContext) (any, error) {
	body, err := s.body(c)
	if err != nil {
		return nil, err
	}
	want, err := intent.Decode(body)
	if err != nil {
		return nil, err
	}
	return result(s.backend.Apply(ctx, want))
}

func (s *Server) plan(ctx context.Context, c *app.RequestContext) (any, error) {
	id, err := required("id", c.Query("id"))
	if err != nil {
		return nil, err
	}
	return result(s.backend.Plan(ctx, id))
}

func (s *Server) confirm(ctx context.Context, c *app.RequestContext) (any, error) {
	var in ConfirmRequest
	if err := s.decode(c, &in); err != nil {
		return nil, err
	}
	if (in.PlanID == "") == (in.Plan == nil) {
		return nil, intent.Faults{{Field: "plan_id", Limit: "must be given, or else plan"}}
	}
	return result(s.backend.Confirm(ctx, in))
}

func (s *Server) status(ctx context.Context, _ *app.RequestContext) (any, error) {
	return result(s.backend.Status(ctx))
}

func (s *Server) explain(ctx context.Context, c *app.RequestContext) (any, error) {
	service, err := required("service", c.Query("service"))
	if err != nil {
		return nil, err
	}
	key, err := required("key", c.Query("key"))
	if err != nil {
		return nil, err
	}
	return result(s.backend.Explain(ctx, core.Service(service), key))
}

func (s *Server) history(ctx context.Context, c *app.RequestContext) (any, error) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", "100"))
	if err != nil || limit < 1 || limit > maxHistory {
		return nil, intent.Faults{{Field: "limit", Limit: "must be a whole number from 1 to " + strconv.Itoa(maxHistory)}}
	}
	return result(s.backend.History(ctx, limit))
}

func (s *Server) drain(on bool) handler {
	return func(ctx context.Context, c *app.RequestContext) (any, error) {
		var in DrainRequest
		if err := s.decode(c, &in); err != nil {
			return nil, err
		}
		if err := requireAll("service", string(in.Service), "node", string(in.Node)); err != nil {
			return nil, err
		}
		return result(s.backend.Drain(ctx, in, on))
	}
}

func (s *Server) quarantine(ctx context.Context, c *app.RequestContext) (any, error) {
	var in QuarantineRequest
	if err := s.decode(c, &in); err != nil {
		return nil, err
	}
	if err := requireAll("service", string(in.Service), "fingerprint", in.Fingerprint); err != nil {
		return nil, err
	}
	return result(s.backend.Quarantine(ctx, in))
}

func (s *Server) burn(ctx context.Context, c *app.RequestContext) (any, error) {
	html, err := strconv.ParseBool(c.DefaultQuery("html", "false"))
	if err != nil {
		return nil, intent.Faults{{Field: "html", Limit: "must be true or false"}}
	}
	return result(s.backend.Burn(ctx, html))
}

func result[T any](v T, err error) (any, error) { return v, err }

func required(field, v string) (string, error) { return v, requireAll(field, v) }

// requireAll takes pairs of a field and its value.
func requireAll(pairs ...string) error {
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

// body reads the request body after the token was checked, so that strangers
// cannot make the node hold a large one.
func (s *Server) body(c *app.RequestContext) ([]byte, error) {
	limit := int64(s.cfg.MaxBodyBytes)
	data, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), limit+1))
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "body not readable")
	}
	if int64(len(data)) > limit {
		return nil, intent.Faults{{Field: "body", Limit: "must have at most " + strconv.Itoa(s.cfg.MaxBodyBytes) + " bytes"}}
	}
	return data, nil
}

// decode reads one JSON object strictly. The error is intent.Faults.
func (s *Server) decode(c *app.RequestContext, into any) error {
	body, err := s.body(c)
	if err != nil {
		return err
	}
	return decodeObject(body, into)
}

func decodeObject(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil && d.Decode(&struct{}{}) != io.EOF {
		return intent.Faults{{Field: "body", Limit: "must be one JSON object"}}
	}
	var mistyped *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mistyped) && mistyped.Field != "":
		return intent.Faults{{Field: mistyped.Field, Limit: "must be a JSON " + mistyped.Type.Kind().String()}}
	}
	// encoding/json reports an unknown field only as text.
	if name, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		return intent.Faults{{Field: strings.Trim(name, `"`), Limit: "is not a known field"}}
	}
	return intent.Faults{{Field: "body", Limit: "must be one JSON object"}}
}
