package configuration

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestRecordRoundTrip(t *testing.T) {
	team, fleet := testTeam("a", 1), testFleet()
	for _, record := range []Record{
		publishOf(TeamSubject("a"), 0, "operator", &team),
		publishOf(FleetSubject, 6, "operator", &fleet),
		publishOf(TeamSubject("a"), 1, "operator", nil),
		publishOf(TeamSubject("a"), 1, "operator", &team).reappend(17),
	} {
		data, err := record.Encode()
		assert.NilError(t, err)
		decoded, err := DecodeRecord(data)
		assert.NilError(t, err)
		again, err := decoded.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(data))
	}
}

func TestUnreadableRecordsAreClassified(t *testing.T) {
	for _, test := range []struct {
		data string
		kind *errorx.Type
	}{
		{`{"format": 2, "kind": 7}`, UnknownFormat},
		{`{}`, UnknownFormat},
		{`{"format": 1`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "team/a", "base": 1, "version": 3, "removed": true}`, Malformed},
		{`{"format": 1, "kind": "reappend", "subject": "team/a", "version": 0, "removed": true}`, Malformed},
		{`{"format": 1, "kind": "other", "subject": "team/a", "version": 1, "removed": true}`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "fleet", "version": 1, "removed": true}`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "team/a", "version": 1, "removed": true, "document": {}}`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "team/a", "version": 1, "document": {"name": "b"}}`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "team/a", "version": 1, "document": {"name": "a"}}`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "fleet", "version": 1, "document": {}}`, Malformed},
		{`{"format": 1, "kind": "publish", "subject": "x", "version": 1, "document": {}}`, Malformed},
	} {
		_, err := DecodeRecord([]byte(test.data))
		assert.Assert(t, errorx.IsOfType(err, test.kind), "%s: %v", test.data, err)
	}
}

// FuzzDecodeRecord checks that a decoded record does not change when it is encoded
// and decoded again, and that it satisfies the invariants that Fold relies on.
func FuzzDecodeRecord(f *testing.F) {
	team := testTeam("a", 1)
	for _, record := range []Record{
		publishOf(TeamSubject("a"), 0, "operator", &team),
		publishOf(TeamSubject("a"), 1, "operator", nil).reappend(17),
	} {
		data, err := record.Encode()
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"format": 1, "kind": "publish", "subject": "team/", "version": 1, "removed": true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeRecord(data)
		if err != nil {
			return
		}
		assert.Assert(t, record.Version > 0)
		assert.Equal(t, record.Removed, record.fleet == nil && record.team == nil)
		encoded, err := record.Encode()
		assert.NilError(t, err)
		again, err := DecodeRecord(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, again.team, record.team)
	})
}
