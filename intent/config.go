package intent

import (
	"encoding/json"
	"strconv"
	"strings"

	"marjoramshore.example/core"
)

// ObjectKey is the key of the configuration in the platform's store.
const ObjectKey = "config"

// maxObjectBytes is the store's limit for a value.
const maxObjectBytes = 1 << 20

// Bounds of the history. 64 entries cover a quarter of an hour at the expected
// 6,800 changes a day; the journal keeps more. maxTextBytes bounds each text of
// an entry.
const (
	maxHistoryEntries = 64
	maxEntryChanges   = 16
	maxTextBytes      = 128
)

// Config is the stored object: the declaration in force with its revision.
type Config struct {
	Revision    core.Revision `json:"revision"`
	Declaration Declaration   `json:"declaration"`
	// History holds the latest changes, oldest first.
	History []HistoryEntry `json:"history,omitempty"`
	// WriteNonce identifies one write, so that a writer that got no answer
	// from the store recognises its own write.
	WriteNonce string `json:"writer,omitempty"`
}

// HistoryEntry is one confirmed plan.
type HistoryEntry struct {
	Revision core.Revision `json:"revision"`
	// Plan is the id of the confirmed plan.
	Plan string `json:"plan"`
	// By names who confirmed the plan, AtMs is the wall time in ms since the
	// Unix epoch, and Cause is the reason that the operator gave. By and Cause
	// may be truncated.
	By    string `json:"by,omitempty"`
	AtMs  int64  `json:"at_ms,omitempty"`
	Cause string `json:"cause,omitempty"`
	// Changes lists the first changes, with texts that may be truncated;
	// MoreChanges counts the others.
	Changes     []Change `json:"changes,omitempty"`
	MoreChanges int      `json:"more_changes,omitempty"`
}

// String returns the revision, its author and its changes as one line of text.
func (e HistoryEntry) String() string {
	parts := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		parts[i] = c.String()
	}
	s := "revision " + strconv.FormatUint(uint64(e.Revision), 10)
	if e.By != "" {
		s += " by " + e.By
	}
	s += ": " + strings.Join(parts, ", ")
	if e.MoreChanges > 0 {
		s += " and " + strconv.Itoa(e.MoreChanges) + " more"
	}
	return s
}

// Encode returns the stored form. It is compressed JSON, because
// 360 coordinators receive it for each of 6,800 changes a day. Encode drops
// the oldest history entries until the object fits in the store. The error is
// Faults.
func Encode(c Config) ([]byte, error) {
	for {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, Faults{{Field: "config", Limit: "must be encodable: " + err.Error()}}
		}
		if data, err = compress(data); err != nil {
			return nil, err
		}
		if len(data) <= maxObjectBytes {
			return data, nil
		}
		if len(c.History) == 0 {
			return nil, Faults{{Field: "config", Limit: "must have at most " + strconv.Itoa(maxObjectBytes) + " bytes when encoded"}}
		}
		c.History = c.History[1:]
	}
}

// DecodeConfig decodes the stored form, compressed or not. Unknown fields are
// ignored, so that an older node can read the object of a newer one. The error
// is Faults.
func DecodeConfig(data []byte) (Config, error) {
	data, err := decompress(data)
	if err != nil {
		return Config{}, err
	}
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return Config{}, Faults{{Field: "config", Limit: "must be JSON: " + err.Error()}}
	}
	return c, nil
}

// Newer returns candidate if its revision is greater, and current otherwise: a
// node never goes back to an earlier revision.
func Newer(current, candidate Config) Config {
	if candidate.Revision > current.Revision {
		return candidate
	}
	return current
}

// withPlan returns the configuration after c: the result of the plan with the
// next revision and a history entry.
func (c Config) withPlan(plan Plan, by string, atMs int64, cause string) Config {
	changes := Diff(c.Declaration, plan.Result)
	entry := HistoryEntry{
		Revision: c.Revision + 1, Plan: plan.ID, By: truncate(by), AtMs: atMs, Cause: truncate(cause),
		MoreChanges: max(0, len(changes)-maxEntryChanges),
	}
	for _, change := range changes[:min(len(changes), maxEntryChanges)] {
		entry.Changes = append(entry.Changes, Change{truncate(change.Field), truncate(change.From), truncate(change.To)})
	}
	history := append(append([]HistoryEntry{}, c.History...), entry)
	return Config{
		Revision: entry.Revision, Declaration: plan.Result,
		History: history[max(0, len(history)-maxHistoryEntries):],
	}
}

// truncate shortens s to at most maxTextBytes bytes and marks the cut by dots.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes-3], "") + "..."
}
