package configuration

import (
	"encoding/json"
)

// Kind is the kind of a record.
type Kind string

// The kinds of record.
const (
	// KindPublish proposes a new version of a subject.
	KindPublish Kind = "publish"
	// KindReappend repeats an accepted version so that it outlives the log's
	// retention. VMs also exchange versions as records of this kind.
	KindReappend Kind = "reappend"
)

// Record is one entry of the configuration stream: a version of one subject.
type Record struct {
	// Format is the version of the record's format.
	Format  int    `json:"format"`
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	// Base is the version that a publish was based on.
	Base uint64 `json:"base,omitempty"`
	// Version is the subject's version; Base+1 in a publish.
	Version uint64 `json:"version"`
	// Origin is the offset of the publish that a re-append repeats.
	Origin uint64 `json:"origin,omitempty"`
	// Publisher names who published the version, for example an operator.
	Publisher string `json:"publisher"`
	// Removed says that this version removes the team.
	Removed bool `json:"removed,omitempty"`
	// Document is the subject's document as it was published; empty if Removed.
	// It is kept as encoded, so that a re-append by an older version of this
	// program preserves fields that it does not know.
	Document json.RawMessage `json:"document,omitempty"`

	fleet *Fleet
	team  *Team
}

// maxPublisherBytes bounds the name of a publisher.
const maxPublisherBytes = 256

// newPublish returns a publish record of a document. A nil document removes the team.
func newPublish(subject string, base uint64, publisher string, document any) (Record, error) {
	record := Record{
		Format:    Format,
		Kind:      KindPublish,
		Subject:   subject,
		Base:      base,
		Version:   base + 1,
		Publisher: publisher,
		Removed:   document == nil,
	}
	if document == nil {
		return record, record.parse()
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return Record{}, Malformed.Wrap(err, "encoding the document of %s", subject)
	}
	record.Document = encoded
	return record, record.parse()
}

// Encode returns the record as it is stored in the log.
func (r Record) Encode() ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil {
		return nil, Malformed.Wrap(err, "encoding a record of %s", r.Subject)
	}
	return encoded, nil
}

// DecodeRecord decodes and validates a record. The validation depends on the
// record alone, so that all programs that support the format agree on the result.
// The error is of type UnknownFormat or Malformed.
func DecodeRecord(data []byte) (Record, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{}, Malformed.Wrap(err, "decoding a record")
	}
	if err := checkFormat(head.Format); err != nil {
		return Record{}, err
	}
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, Malformed.Wrap(err, "decoding a record")
	}
	return record.Parsed()
}

func checkFormat(format int) error {
	if format != Format {
		return UnknownFormat.New("record format %d is not known", format)
	}
	return nil
}

// Parsed returns the record with its document decoded, after the same validation
// as DecodeRecord. It serves for records that were not read by DecodeRecord, such
// as those received from peers.
func (r Record) Parsed() (Record, error) {
	if err := checkFormat(r.Format); err != nil {
		return Record{}, err
	}
	if err := r.parse(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// parse validates the record and decodes its document.
func (r *Record) parse() error {
	if err := r.checkVersions(); err != nil {
		return err
	}
	if len(r.Publisher) > maxPublisherBytes {
		return Malformed.New("publisher of %s is longer than %d bytes", r.Subject, maxPublisherBytes)
	}
	if r.Removed {
		return r.checkRemoval()
	}
	if r.Subject == FleetSubject {
		return r.parseFleet()
	}
	return r.parseTeam()
}

func (r *Record) checkVersions() error {
	switch {
	case r.Kind == KindPublish && r.Origin == 0 && r.Version == r.Base+1 && r.Version > 0:
		return nil
	case r.Kind == KindReappend && r.Base == 0 && r.Version > 0:
		return nil
	default:
		return Malformed.New("record %q of %q has base %d, version %d and origin %d",
			r.Kind, r.Subject, r.Base, r.Version, r.Origin)
	}
}

func (r *Record) checkRemoval() error {
	name, ok := teamOfSubject(r.Subject)
	if !ok || !namePattern.MatchString(name) {
		return Malformed.New("subject %q cannot be removed", r.Subject)
	}
	if len(r.Document) > 0 {
		return Malformed.New("removal of %s contains a document", r.Subject)
	}
	return nil
}

func (r *Record) parseFleet() error {
	fleet := new(Fleet)
	if err := json.Unmarshal(r.Document, fleet); err != nil {
		return Malformed.Wrap(err, "decoding the fleet document")
	}
	c := new(checker)
	c.fleet(FleetSubject, fleet)
	if err := c.Err(); err != nil {
		return Malformed.Wrap(err, "fleet document")
	}
	r.fleet = fleet
	return nil
}

func (r *Record) parseTeam() error {
	team := new(Team)
	if err := json.Unmarshal(r.Document, team); err != nil {
		return Malformed.Wrap(err, "decoding the document of %q", r.Subject)
	}
	if r.Subject != TeamSubject(team.Name) {
		return Malformed.New("the document of %q names team %q", r.Subject, team.Name)
	}
	c := new(checker)
	c.team(r.Subject, team)
	if err := c.Err(); err != nil {
		return Malformed.Wrap(err, "team document")
	}
	r.team = team
	return nil
}

// reappend returns the record that repeats an accepted version. The origin is the
// offset of its publish.
func (r Record) reappend(origin uint64) Record {
	r.Kind = KindReappend
	r.Base = 0
	r.Origin = origin
	return r
}
