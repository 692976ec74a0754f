package claim

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Key is an idempotency key within a team.
type Key struct {
	Team string
	Key  string
}

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 200

// Bounds of the number of digits of Unix milliseconds in a key.
const (
	minMilliDigits = 12
	maxMilliDigits = 14
)

// uuidTextBytes is the length of a UUID's canonical text.
const uuidTextBytes = 36

// uuidLowBits is the number of bits that follow the 48 bits of Unix
// milliseconds in the first 8 bytes of a UUIDv7.
const uuidLowBits = 16

// KeyForm is the form of a key.
type KeyForm int

// The forms of keys. Each text has exactly one form, so that a key is never
// handled by two mechanisms.
const (
	// FormPlain is a UUIDv7 or "<unix milliseconds>-<anything>".
	FormPlain KeyForm = iota
	// FormBound is "<vm>.<incarnation>.<uuidv7>", issued by that incarnation.
	FormBound
	// FormHomed is "<zone>.<uuidv7>", with that availability zone as its home
	// zone.
	FormHomed
)

// ParsedKey is a key with the parts of its text.
type ParsedKey struct {
	Key
	Form KeyForm
	// Issued is the time in the key, by the issuer's clock.
	Issued time.Time
	// VM and Incarnation are set for FormBound.
	VM          string
	Incarnation uint64
	// Zone is set for FormHomed.
	Zone string
}

// ParseKey parses a time-ordered key. The error is KeyMalformed.
func ParseKey(key Key) (ParsedKey, error) {
	if key.Team == "" || len(key.Key) > maxKeyBytes {
		return ParsedKey{}, KeyMalformed.New("a key needs a team and at most %d bytes", maxKeyBytes)
	}
	parsed := ParsedKey{Key: key}
	if issued, ok := milliPrefix(key.Key); ok {
		parsed.Issued = issued
		return parsed, nil
	}
	parts := strings.Split(key.Key, ".")
	issued, ok := uuidTime(parts[len(parts)-1])
	if !ok {
		return ParsedKey{}, KeyMalformed.New("%q is neither a UUIDv7 nor <unix milliseconds>-<text>", key.Key)
	}
	parsed.Issued = issued
	return parsed.withPrefix(parts[:len(parts)-1])
}

// withPrefix fills in the parts before the UUID.
func (p ParsedKey) withPrefix(prefix []string) (ParsedKey, error) {
	switch {
	case len(prefix) == 0:
		return p, nil
	case prefix[0] == "":
	case len(prefix) == 1:
		p.Form = FormHomed
		p.Zone = prefix[0]
		return p, nil
	case len(prefix) == 2:
		incarnation, err := strconv.ParseUint(prefix[1], 10, 64)
		if err != nil || strconv.FormatUint(incarnation, 10) != prefix[1] {
			break
		}
		p.Form = FormBound
		p.VM = prefix[0]
		p.Incarnation = incarnation
		return p, nil
	}
	return ParsedKey{}, KeyMalformed.New("%q has an unknown prefix", p.Key.Key)
}

// milliPrefix parses the time of "<unix milliseconds>-<anything>".
func milliPrefix(text string) (time.Time, bool) {
	digits, _, found := strings.Cut(text, "-")
	if !found || len(digits) < minMilliDigits || len(digits) > maxMilliDigits {
		return time.Time{}, false
	}
	millis, err := strconv.ParseUint(digits, 10, 63)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(millis)), true
}

// uuidTime parses a UUIDv7 in its canonical text and returns its time.
func uuidTime(text string) (time.Time, bool) {
	if len(text) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.String() != text {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> uuidLowBits)), true
}

// newUUID returns a UUIDv7 with the given time, for uses where the time must
// come from this package's own clock instead of the wall clock.
func newUUID(at time.Time) (uuid.UUID, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return uuid.UUID{}, err
	}
	const version = 7
	low := uint64(binary.BigEndian.Uint16(id[6:8]))&0x0fff | version<<12
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<uuidLowBits|low)
	return id, nil
}

// text returns the key as one unique string.
func (k Key) text() string { return k.Team + "\x00" + k.Key }
