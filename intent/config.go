package intent

import (
	"encoding/json"
	"strconv"
	"strings"

	"marjoramshore.example/core"
)

// ObjectKey is the key of the configuration in the platform's store.
const ObjectKey = "config"

// maxObject is the store's limit for a value.
const maxObject = 1 << 20

// Bounds of the history. 64 entries cover a quarter of an hour at the expected
// 6,800 changes a day; the journal keeps more.
const (
	maxHistory = 64
	maxChanges = 16
	maxText    = 128
)

// Config is the stored object: the declaration in force with its revision.
type Config struct {
	Revision    core.Revision `json:"revision"`
	Declaration Declaration   `json:"declaration"`
	// History holds the latest changes, oldest first.
	History []HistoryEntry `json:"history,omitempty"`
	// WriteNonce is a nonce of the writer, so that it recognises its own write
	// after a lost answer.
	WriteNonce string `json:"writer,omitempty"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision core.Revision `json:"revision"`
	// Plan is the id of the confirmed plan.
	Plan string `json:"plan"`
	// By names who confirmed it, AtMs is the wall time in ms since the epoch,
	// and Cause is the text that the operator gave.
	By    string `json:"by,omitempty"`
	AtMs  int64  `json:"at_ms,omitempty"`
	Cause string `json:"cause,omitempty"`
	// Changes lists the first changes; MoreChanges counts the others.
	Changes     []Change `json:"changes,omitempty"`
	MoreChanges int      `json:"more_changes,omitempty"`
}

// String returns the entry for people.
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

// Encode returns the stored form, compressed JSON: 360 coordinators receive it
// for each of 6,800 changes a day. It drops the oldest history entries until
// the object fits in the store.
func Encode(c Config) ([]byte, error) {
	for {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, Faults{{Field: "config", Limit: "must be encodable: " + err.Error()}}
		}
		if data, err = compress(data); err != nil {
			return nil, err
		}
		if len(data) <= maxObject {
			return data, nil
		}
		if len(c.History) == 0 {
			return nil, Faults{{Field: "config", Limit: "must have at most " + strconv.Itoa(maxObject) + " bytes when encoded"}}
		}
		c.History = c.History[1:]
	}
}

// DecodeConfig reads the stored form, and plain JSON as well. Unknown fields are ignored, so that an
// older node reads the object of a newer one.
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

// Newer returns the configuration with the greater revision: a node never goes
// back to an earlier one.
func Newer(current, candidate Config) Config {
	if candidate.Revision > current.Revision {
		return candidate
	}
	return current
}

func (c Config) next(plan Plan, by string, atMs int64, cause string) Config {
	changes := Diff(c.Declaration, plan.Result)
	e := HistoryEntry{
		Revision: c.Revision + 1, Plan: plan.ID, By: cut(by), AtMs: atMs, Cause: cut(cause),
		MoreChanges: max(0, len(changes)-maxChanges),
	}
	for _, ch := range changes[:min(len(changes), maxChanges)] {
		e.Changes = append(e.Changes, Change{cut(ch.Field), cut(ch.From), cut(ch.To)})
	}
	history := append(append([]HistoryEntry{}, c.History...), e)
	return Config{
		Revision: e.Revision, Declaration: plan.Result,
		History: history[max(0, len(history)-maxHistory):],
	}
}

func cut(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.ToValidUTF8(s[:maxText-3], "") + "..."
}
