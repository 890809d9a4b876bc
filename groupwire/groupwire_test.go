package groupwire

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

var (
	group    = core.GroupID{Service: "hintapalvelu", Number: 3}
	run      = ownership.Run{Node: "hinta-07", Incarnation: 0x1234567890abcdef}
	peer     = core.Member{Node: "hinta-01", Incarnation: 9, DataCentre: "fi-south-2", Address: "127.0.0.1:7101", CallerAddress: "127.0.0.1:7001", ChecksTokens: true}
	keyRange = core.Range{Lo: 1 << 60, Hi: 1 << 61}
	token    = core.Token{Term: 4, Sequence: 17}
	table    = &core.Table{Group: group, Version: token, Members: []core.Member{peer},
		Entries: []core.Entry{{Range: keyRange, Owner: 0, Token: token}, {Range: core.Range{Lo: 1 << 62, Hi: 1 << 63}, Owner: core.NoOwner}}}
)

var decoder = Decoder{Group: group, Self: ownership.RunOf(peer)}

// samples returns a message of each type with every field set.
func samples() []ownership.Message {
	to := ownership.RunOf(peer)
	return []ownership.Message{
		&ownership.Renew{Group: group, From: run, Term: 4, Seq: 1000, Answered: 998, Table: token, Revision: 12, Draining: true, Stopping: true, Leaving: true, Join: &peer,
			Claim: &ownership.Claim{Term: 3, Ranges: []ownership.HeldRange{{Range: keyRange, Token: token}}}},
		&ownership.RenewAnswer{Group: group, From: run, To: to, Term: 4, Seq: 1000, Verdict: ownership.Granted, Acting: true,
			Table: token, NewTable: table, Revision: 12, DrainAccepted: true, Removed: true, Coordinator: &peer},
		&ownership.TablePush{Group: group, From: run, Term: 4, Table: table},
		&ownership.PromiseRequest{Group: group, From: run, To: to, Term: 4, Seq: 5, Answered: 4, Version: 6, Revision: 7, Active: true,
			Record: &ownership.GroupRecord{Term: 4, Coordinator: run, Successors: []ownership.Run{to}, Table: *table, Writer: run, Nonce: 3}},
		&ownership.PromiseAnswer{Group: group, From: run, Term: 4, Seq: 5, Verdict: ownership.RefusedActing, MayReassign: true, Version: 6},
		&ownership.ActingRequest{Group: group, From: run, To: to, Term: 4, Seq: 5, Version: 6},
		&ownership.ActingAnswer{Group: group, From: run, Term: 4, Seq: 5, Verdict: ownership.Granted},
		&ownership.TermNotice{Group: group, From: peer, Term: 4, Acting: true},
		&ownership.StepDown{Group: group, From: run, Term: 4, Version: 6},
		&ownership.MoveStop{Group: group, From: run, Term: 4, Move: 2, Range: keyRange, Token: token, To: peer},
		&ownership.MoveReleased{Group: group, From: run, Term: 4, Move: 2, Range: keyRange, Token: token, Keep: []core.Hash{5, 6}},
		&ownership.MoveFailed{Group: group, From: run, Term: 4, Move: 2},
		&ownership.MoveRequest{Group: group, From: run, Term: 4, Range: keyRange, To: to},
	}
}

// Guards against a message field that is not encoded, which would silently
// weaken the lease protocol. When Renew.Answered was missing from the encoding,
// coordinators assigned no ranges to members. The test fails for a field that
// is added to a message but not to its sample.
func TestRoundTrip(t *testing.T) {
	for _, m := range samples() {
		v := reflect.ValueOf(m).Elem()
		for i := range v.NumField() {
			must.False(t, v.Field(i).IsZero(), must.Sprintf("%T.%s is zero; set it in samples", m, v.Type().Field(i).Name))
		}
		b, err := Encode(ownership.RunOf(peer), m)
		must.NoError(t, err)
		got, err := decoder.Decode(b)
		must.NoError(t, err)
		must.Eq(t, m, got)
	}
}

// Guards against control traffic of a coordinator above its budget of 5 KB a
// second. At each heartbeat, a coordinator exchanges renewals with every other
// member and promises with two successors.
func TestCoordinatorBytes(t *testing.T) {
	const (
		ipAndUDPHeaders   = 28 // IPv4 and UDP headers
		datagramOverhead  = 22 // datagram.Overhead in module transport
		heartbeatSeconds  = 0.6
		maxBytesPerSecond = 5000
	)
	datagramBytes := func(m ownership.Message) float64 {
		b, err := Encode(ownership.RunOf(peer), m)
		must.NoError(t, err)
		return float64(len(b) + ipAndUDPHeaders + datagramOverhead)
	}
	renewal := datagramBytes(&ownership.Renew{Group: group, From: run, Term: 400, Seq: 1 << 20, Answered: 1<<20 - 1, Table: token, Revision: 1 << 20}) +
		datagramBytes(&ownership.RenewAnswer{Group: group, From: run, To: ownership.RunOf(peer), Term: 400, Seq: 1 << 20, Verdict: ownership.Granted, Table: token, Revision: 1 << 20})
	promise := datagramBytes(&ownership.PromiseRequest{Group: group, From: run, Term: 400, Seq: 1 << 20, Answered: 1<<20 - 1, Version: 1 << 20, Revision: 1 << 20, Active: true}) +
		datagramBytes(&ownership.PromiseAnswer{Group: group, From: run, Term: 400, Seq: 1 << 20, Verdict: ownership.Granted, MayReassign: true, Version: 1 << 20})
	bytesPerSecond := (renewal*(ownership.MaxMembers-1) + promise*2) / heartbeatSeconds
	t.Logf("renewal %.0f B, promise %.0f B, coordinator of %d members %.0f B/s", renewal, promise, ownership.MaxMembers, bytesPerSecond)
	must.Less(t, float64(maxBytesPerSecond), bytesPerSecond)
}

// Guards against arbitrary bytes that cause a panic or decode to an invalid
// table.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		b, _ := Encode(ownership.RunOf(peer), m)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decoder.Decode(b)
		if (m == nil) == (err == nil) && err == nil {
			t.Fatal("Decode returned neither a message nor an error")
		}
		if a, ok := m.(*ownership.RenewAnswer); ok && err == nil && a.NewTable != nil {
			must.NoError(t, a.NewTable.Validate())
		}
	})
}
