package lease

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
)

// Stream is the log's stream of lease records.
const Stream = "leases"

// Format is the version of the record format that this package reads.
const Format = 1

var namespace = errorx.NewNamespace("lease").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Malformed means that a record cannot be decoded.
var Malformed = namespace.NewType("malformed")

// Kind is the kind of a record.
type Kind string

// The kinds of record.
const (
	KindAcquire Kind = "acquire"
	KindRenew   Kind = "renew"
	KindRelease Kind = "release"
)

// Holder is one incarnation of an entry VM.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is one record of the stream.
type Record struct {
	Format int    `json:"format"`
	Kind   Kind   `json:"kind"`
	Lease  string `json:"lease"`
	Holder Holder `json:"holder"`
	// Fencing is the fencing number of the acquisition that a renewal or release
	// belongs to.
	Fencing uint64 `json:"fencing,omitempty"`
	// ValidUntilMillis is the log time, Unix milliseconds, after which an acquire
	// record has no effect.
	ValidUntilMillis int64 `json:"valid_until_ms,omitempty"`
	// Excluded are the endpoints that get no new work while the lease is held.
	Excluded []string `json:"excluded,omitempty"`
}

// Name returns the name of the lease on a model's engines in a zone.
func Name(zone, model string) string { return zone + "/" + model }

func (r *Record) validUntil() time.Time { return time.UnixMilli(r.ValidUntilMillis) }

// Encode returns the record's data.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode decodes a record. Errors are of type Malformed.
func Decode(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, Malformed.Wrap(err, "lease record")
	}
	if record.Format != Format {
		return Record{}, Malformed.New("lease record of format %d", record.Format)
	}
	if record.Lease == "" || record.Holder.VM == "" {
		return Record{}, Malformed.New("lease record without a lease or holder")
	}
	return record, nil
}
