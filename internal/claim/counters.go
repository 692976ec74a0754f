package claim

import (
	"expvar"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// counters are the metrics of Claims and AnswerRegistry.
type counters struct {
	vars *expvar.Map
	// appends counts append calls to the log; records and bytes count their
	// contents.
	appends, records, bytes *expvar.Int
	// inDoubt counts appends whose response was lost, refused counts appends
	// that the log refused, and readFailures counts reads that failed.
	inDoubt, refused, readFailures *expvar.Int
	// undecodable counts records that this version cannot decode.
	undecodable *expvar.Int
	// retentionShort counts reads which showed that the log had removed records
	// before the end of their retention.
	retentionShort *expvar.Int
	// ownerCalls and ownerFailures count submissions to other VMs.
	ownerCalls, ownerFailures *expvar.Int
	// givenUp counts claims that were refused without knowing whether they were
	// appended.
	givenUp *expvar.Int
	// dropped counts records that were dropped before they could be appended.
	dropped *expvar.Int
	// takeovers counts slots of the answer registry that this VM took over,
	// incompleteTakeovers those whose earlier state it could not recover
	// completely.
	takeovers, incompleteTakeovers *expvar.Int
}

func newCounters() *counters {
	c := &counters{vars: new(expvar.Map).Init()}
	for name, target := range map[string]**expvar.Int{
		"appends":            &c.appends,
		"records":            &c.records,
		"bytes":              &c.bytes,
		"appends_in_doubt":   &c.inDoubt,
		"appends_refused":    &c.refused,
		"reads_failed":       &c.readFailures,
		"records_unreadable": &c.undecodable,
		"retention_short":    &c.retentionShort,
		"owner_calls":        &c.ownerCalls,
		"owner_failures":     &c.ownerFailures,
		"claims_given_up":    &c.givenUp,
		"outcomes_dropped":   &c.dropped,
		"slot_takeovers":     &c.takeovers,
		"slots_incomplete":   &c.incompleteTakeovers,
	} {
		*target = new(expvar.Int)
		c.vars.Set(name, *target)
	}
	return c
}

// appended counts one append call to the log.
func (c *counters) appended(entries []logservice.Entry, err error) {
	c.appends.Add(1)
	if errorx.HasTrait(err, logservice.NotAppended) {
		c.refused.Add(1)
		return
	}
	c.records.Add(int64(len(entries)))
	for i := range entries {
		c.bytes.Add(int64(len(entries[i].ID) + len(entries[i].Data)))
	}
}

func (c *counters) readFailed() { c.readFailures.Add(1) }

// decided counts a decision by its kind.
func (c *counters) decided(prefix string, kind Kind) { c.vars.Add(prefix+kind.String(), 1) }

// refusedWith counts a refusal by its type.
func (c *counters) refusedWith(prefix string, err error) {
	if cast := errorx.Cast(err); cast != nil {
		c.vars.Add(prefix+cast.Type().FullName(), 1)
	}
}
