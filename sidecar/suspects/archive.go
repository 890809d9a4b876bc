package suspects

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

const (
	// ObjectPrefix begins the names of the objects of quarantines, which have the
	// fingerprint in hexadecimal after it. Operators lift a quarantine by deleting its
	// object.
	ObjectPrefix = "quarantine."
	// firstRetryDelay is the delay before another attempt to write an object, which
	// doubles up to maxRetryDelay, because calls that fail are priced as well.
	firstRetryDelay = 300 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	// maxKept bounds the quarantines that are written again in a new era of the store.
	maxKept = 256
)

// Record is the content of the object of a quarantine.
type Record struct {
	Service core.Service
	// Note describes the request to operators.
	Note string
	Mark suspect.Mark
}

// FormatError reports an object that is no record of a quarantine.
type FormatError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string {
	return "quarantine " + strconv.Quote(e.Name) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// ObjectName returns the name of the object of a quarantine.
func ObjectName(f suspect.Fingerprint) string {
	text := strconv.FormatUint(uint64(f), 16)
	return ObjectPrefix + strings.Repeat("0", 16-len(text)) + text
}

// ParseObjectName returns the fingerprint of the quarantine whose object has a name, or 0
// if it names none.
func ParseObjectName(name string) suspect.Fingerprint {
	f, err := strconv.ParseUint(strings.TrimPrefix(name, ObjectPrefix), 16, 64)
	if err != nil {
		return 0
	}
	return suspect.Fingerprint(f)
}

// DecodeRecord decodes the object of a quarantine. Another writer may have left one that
// is none.
func DecodeRecord(name string, spec []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(spec, &r); err != nil {
		return Record{}, &FormatError{name, err}
	}
	if ObjectName(r.Mark.Fingerprint) != name || r.Mark.Quarantined == 0 {
		return Record{}, &FormatError{name, &platform.InvalidFieldError{Field: "Mark"}}
	}
	return r, nil
}

// Store is the part of the store's client that an Archive uses.
type Store interface {
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Delete(ctx context.Context, kind, name string) error
}

// ArchiveConfig configures an Archive.
type ArchiveConfig struct {
	// Kind is that of the objects.
	Kind  string
	Store Store
	// Eras are those of the store. In a new one, the objects are written again.
	Eras *platform.Eras
	Log  log.Interface
}

// Archive keeps the quarantines of this node in the platform's store. Its methods may be
// called from any goroutine and do not block.
type Archive struct {
	cfg      ArchiveConfig
	requests *ring.Ring[archiveRequest]
}

// archiveRequest asks to keep a record, to forget one that was lifted, or to remove an
// object that is out of date.
type archiveRequest struct {
	record        *Record
	lifted, stale string
}

// NewArchive returns an archive. It writes nothing until Run is called.
func NewArchive(cfg ArchiveConfig) *Archive {
	return &Archive{cfg: cfg, requests: ring.New[archiveRequest]("quarantines", ringCapacity, ring.Refuse)}
}

// Keep keeps a quarantine.
func (a *Archive) Keep(r Record) { a.push(archiveRequest{record: &r}) }

// Forget forgets a quarantine whose object was deleted, so that it is not written again.
func (a *Archive) Forget(name string) { a.push(archiveRequest{lifted: name}) }

// Remove removes the object of a quarantine that is no longer in force.
func (a *Archive) Remove(name string) { a.push(archiveRequest{stale: name}) }

func (a *Archive) push(r archiveRequest) {
	if err := a.requests.Push(context.Background(), r); err != nil {
		a.cfg.Log.WithError(err).Warn("change of a quarantine's object in the platform's store not queued")
	}
}

// RingStats returns the counters of the archive's ring.
func (a *Archive) RingStats() ring.Stats { return a.requests.Stats() }

// archiving is the archive's state. Only the goroutine of Run may use it.
type archiving struct {
	*Archive
	// kept are the records that this process has kept, oldest first, and unwritten the
	// names of those that the store may lack.
	kept      []Record
	unwritten []string
	delay     time.Duration
}

// Run keeps quarantines until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	st := &archiving{Archive: a, delay: firstRetryDelay}
	retry := time.NewTimer(0)
	defer retry.Stop()
	era := a.cfg.Eras.Current()
	for {
		select {
		case <-ctx.Done():
			return
		case <-retry.C:
		case <-a.cfg.Eras.Ended(era):
			era = a.cfg.Eras.Current()
			st.unwritten = nil
			for _, r := range st.kept {
				st.unwritten = append(st.unwritten, ObjectName(r.Mark.Fingerprint))
			}
		case <-a.requests.Ready():
			st.takeAll(ctx)
		}
		if !st.write(ctx) {
			retry.Reset(st.delay)
			st.delay = min(2*st.delay, maxRetryDelay)
		}
	}
}

// takeAll takes all queued changes.
func (st *archiving) takeAll(ctx context.Context) {
	for r, ok := st.requests.Pop(); ok; r, ok = st.requests.Pop() {
		st.take(ctx, r)
	}
}

func (st *archiving) take(ctx context.Context, r archiveRequest) {
	switch {
	case r.record != nil:
		st.kept = append(st.kept, *r.record)
		st.kept = st.kept[max(0, len(st.kept)-maxKept):]
		st.unwritten = append(st.unwritten, ObjectName(r.record.Mark.Fingerprint))
	case r.lifted != "":
		st.kept = slices.DeleteFunc(st.kept, func(k Record) bool { return ObjectName(k.Mark.Fingerprint) == r.lifted })
		st.unwritten = slices.DeleteFunc(st.unwritten, func(name string) bool { return name == r.lifted })
	default:
		if err := st.cfg.Store.Delete(ctx, st.cfg.Kind, r.stale); err != nil {
			st.cfg.Log.WithError(err).WithField("name", r.stale).Warn("removing the object of an old quarantine failed; the next listing tries again")
		}
	}
}

// find returns the index of the kept record of a name, or -1.
func (st *archiving) find(name string) int {
	return slices.IndexFunc(st.kept, func(k Record) bool { return ObjectName(k.Mark.Fingerprint) == name })
}

// write writes the records that the store may lack, but for those that a queued change
// forgets. It returns false if another attempt is due.
func (st *archiving) write(ctx context.Context) bool {
	for {
		st.takeAll(ctx)
		if len(st.unwritten) == 0 {
			return true
		}
		name := st.unwritten[0]
		st.unwritten = st.unwritten[1:]
		if i := st.find(name); i >= 0 && !st.create(ctx, st.kept[i]) {
			st.unwritten = slices.Insert(st.unwritten, 0, name)
			return false
		}
		st.delay = firstRetryDelay
	}
}

// create creates the object of a record, and removes it again if the quarantine was lifted
// meanwhile. It returns false if another attempt is due.
func (st *archiving) create(ctx context.Context, r Record) bool {
	name := ObjectName(r.Mark.Fingerprint)
	spec, err := json.Marshal(r)
	if err == nil {
		_, err = st.cfg.Store.Create(ctx, st.cfg.Kind, name, spec)
	}
	// Another node may have quarantined the request at the same time.
	existed := platform.FaultOf(err) == platform.FaultConflict
	st.takeAll(ctx)
	switch {
	case st.find(name) < 0 && !existed:
		err = st.cfg.Store.Delete(ctx, st.cfg.Kind, name)
		st.cfg.Log.WithError(err).WithField("name", name).Warn("quarantine lifted while it was written to the platform's store; removed again")
	case err != nil && !existed:
		st.cfg.Log.WithError(err).WithField("name", name).Warn("writing a quarantine to the platform's store failed; retrying")
		return false
	}
	return true
}
