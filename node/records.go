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

// groupRecordKey returns the store key of a group's record.
func groupRecordKey(g core.GroupID) string {
	return "group/" + string(g.Service) + "/" + strconv.FormatUint(uint64(g.Number), 10)
}

// groupRecords reads and writes the record of one group in the store.
type groupRecords struct {
	store *store.Client
	key   string
}

// Get implements lease.Records.
func (r *groupRecords) Get(ctx context.Context) ownership.ReadResult {
	res, err := r.store.Do(ctx, store.Op{Kind: store.OpGet, Key: r.key, Urgent: true})
	if err != nil {
		if storeErrorKind(err) == store.KindNotFound {
			return ownership.ReadResult{Status: ownership.ReadMissing}
		}
		return ownership.ReadResult{Status: ownership.ReadUnavailable}
	}
	rec, err := decodeGroupRecord(res.Object.Value)
	if err != nil {
		return ownership.ReadResult{Status: ownership.ReadUnavailable}
	}
	return ownership.ReadResult{Status: ownership.ReadFound, Record: rec, Version: res.Object.Version}
}

// Put implements lease.Records.
func (r *groupRecords) Put(ctx context.Context, rec *ownership.GroupRecord, ifVersion uint64) ownership.PutResult {
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

func decodeGroupRecord(b []byte) (*ownership.GroupRecord, error) {
	rec := new(ownership.GroupRecord)
	if err := json.Unmarshal(b, rec); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "group record: decode")
	}
	if err := rec.Table.Validate(); err != nil {
		return nil, err
	}
	return rec, nil
}

// storeErrorKind returns the kind of an error of the store. Any other error,
// and nil, count as KindUnavailable.
func storeErrorKind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return store.KindUnavailable
}
