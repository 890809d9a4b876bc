package groupwire

import (
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramshore.example/core"
	pb "marjoramshore.example/groupwire/groupv1"
	"marjoramshore.example/once"
)

// EncodeTransfer returns the encoding of t, which holds the records of range r.
func EncodeTransfer(r core.Range, t once.Transfer) ([]byte, error) {
	out := &pb.Transfer{Range: encodeRange(r)}
	for _, p := range t.Pieces {
		out.Pieces = append(out.Pieces, &pb.Piece{Range: encodeRange(p.Range), HorizonUnixMs: toUnixMs(p.Horizon)})
	}
	for _, x := range t.Records {
		out.Records = append(out.Records, &pb.Record{Id: x.ID[:], Hash: uint64(x.Hash), State: uint32(x.State),
			Outcome: string(x.Outcome), Status: uint32(x.Status), BegunUnixMs: toUnixMs(x.Begun)})
	}
	b, err := proto.Marshal(out)
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "cannot encode the transfer")
	}
	return b, nil
}

// DecodeTransfer returns the range and its records. It returns a *core.Error
// with CodeInvalid if b is malformed or contains a piece or record outside the
// range.
func DecodeTransfer(b []byte) (core.Range, once.Transfer, error) {
	encoded := new(pb.Transfer)
	if err := proto.Unmarshal(b, encoded); err != nil {
		return core.Range{}, once.Transfer{}, core.Wrap(core.CodeInvalid, err, "cannot decode the transfer")
	}
	r := decodeRange(encoded.Range)
	var t once.Transfer
	for _, p := range encoded.Pieces {
		piece := once.Piece{Range: decodeRange(p.Range), Horizon: fromUnixMs(p.HorizonUnixMs)}
		if piece.Range.Lo > piece.Range.Hi || piece.Range.Lo < r.Lo || piece.Range.Hi > r.Hi {
			return r, t, core.Fail(core.CodeInvalid, "transfer: piece outside the transferred range")
		}
		t.Pieces = append(t.Pieces, piece)
	}
	for _, x := range encoded.Records {
		rec := once.Record{Hash: core.Hash(x.Hash), State: once.State(x.State), Outcome: core.Outcome(x.Outcome),
			Status: int(x.Status), Begun: fromUnixMs(x.BegunUnixMs)}
		if len(x.Id) != len(rec.ID) || !r.Contains(rec.Hash) {
			return r, t, core.Fail(core.CodeInvalid, "transfer: record outside the transferred range or with invalid ID")
		}
		copy(rec.ID[:], x.Id)
		t.Records = append(t.Records, rec)
	}
	return r, t, nil
}

// toUnixMs returns t in milliseconds since the Unix epoch, or 0 for the zero
// time.
func toUnixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMs is the inverse of toUnixMs.
func fromUnixMs(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// TableRequest asks a member for the assignment table of its group.
type TableRequest struct {
	Group core.GroupID
	// KnownVersion is the version of the table that the sender has, or zero if
	// it has none.
	KnownVersion core.Token
}

// EncodeTableRequest returns the encoding of r.
func EncodeTableRequest(r TableRequest) ([]byte, error) {
	b, err := proto.Marshal(&pb.TableRequest{Service: string(r.Group.Service), Group: r.Group.Number, Have: encodeToken(r.KnownVersion)})
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "cannot encode the table request")
	}
	return b, nil
}

// DecodeTableRequest returns the request in b, or a *core.Error with
// CodeInvalid if b is malformed.
func DecodeTableRequest(b []byte) (TableRequest, error) {
	encoded := new(pb.TableRequest)
	if err := proto.Unmarshal(b, encoded); err != nil {
		return TableRequest{}, core.Wrap(core.CodeInvalid, err, "cannot decode the table request")
	}
	return TableRequest{Group: core.GroupID{Service: core.Service(encoded.Service), Number: encoded.Group}, KnownVersion: decodeToken(encoded.Have)}, nil
}
