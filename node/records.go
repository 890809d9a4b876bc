package node

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
	"marjoramshore.example/store"
)

// groupKey is the store key of a group's record.
func groupKey(g core.GroupID) string {
	return "group/" + string(g.Service) + "/" + strconv.FormatUint(uint64(g.Number), 10)
}

// records reads and writes one group's record through the store duty.
type records struct {
	store *store.Client
	key   string
}

// Get implements lease.Records.
func (r *records) Get(ctx context.Context) ownership.ReadResult {
	res, err := r.store.Do(ctx, store.Op{Kind: store.OpGet, Key: r.key, Urgent: true})
	if err != nil {
		if kindOf(err) == store.KindNotFound {
			return ownership.ReadResult{Status: ownership.ReadMissing}
		}
		return ownership.ReadResult{Status: ownership.ReadUnavailable}
	}
	rec, err := decodeRecord(res.Object.Value)
	if err != nil {
		return ownership.ReadResult{Status: ownership.ReadUnavailable}
	}
	return ownership.ReadResult{Status: ownership.ReadFound, Record: rec, Version: res.Object.Version}
}

// Put implements lease.Records.
func (r *records) Put(ctx context.Context, rec *ownership.GroupRecord, ifVersion uint64) ownership.PutResult {
	value, err := json.Marshal(rec)
	if err != nil {
		return ownership.PutResult{Status: ownership.PutNotApplied}
	}
	res, err := r.store.Do(ctx, store.Op{Kind: store.OpPut, Key: r.key, Value: value, IfVersion: ifVersion, Urgent: true})
	if err == nil {
		return ownership.PutResult{Status: ownership.PutOK, Version: res.Version}
	}
	var e *store.Error
	switch {
	case !errors.As(err, &e) || e.MayHaveApplied:
		return ownership.PutResult{Status: ownership.PutOutcomeUnknown}
	case e.Kind == store.KindConflict:
		return ownership.PutResult{Status: ownership.PutConflict}
	default:
		return ownership.PutResult{Status: ownership.PutNotApplied}
	}
}

func decodeRecord(b []byte) (*ownership.GroupRecord, error) {
	rec := new(ownership.GroupRecord)
	if err := json.Unmarshal(b, rec); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "group record")
	}
	if err := rec.Table.Validate(); err != nil {
		return nil, err
	}
	return rec, nil
}

func kindOf(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return store.KindUnavailable
}
