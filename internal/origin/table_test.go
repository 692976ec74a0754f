package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The links among slots must stay consistent whatever the order of changes; a plain list
// is the reference.
func TestTableMatchesAReference(t *testing.T) {
	const limit = 8
	random := rand.New(rand.NewPCG(1, 1))
	table := newTable(limit)
	var reference []Origin
	remove := func(stream string) {
		for i := range reference {
			if reference[i].Stream == stream {
				reference = append(reference[:i:i], reference[i+1:]...)
				return
			}
		}
	}
	for step := range 20000 {
		now := time.Duration(step)
		o := Origin{Stream: fmt.Sprint(random.IntN(2 * limit)), Build: fmt.Sprint(step), Revision: uint64(step)}
		if random.IntN(3) == 0 {
			table.delete(o.Stream)
			remove(o.Stream)
		} else {
			table.put(now, &o, now+time.Hour)
			remove(o.Stream)
			reference = append(reference, o)
			reference = reference[max(0, len(reference)-limit):]
		}
		var all []Origin
		table.all(now, func(s *slot) { all = append(all, s.origin()) })
		assert.Equal(t, len(all), len(reference), "step %d", step)
		for i := range all {
			assert.Equal(t, all[i], reference[i], "step %d", step)
		}
		assert.Equal(t, table.size(), len(reference))
	}
	table.expire(2 * time.Hour)
	assert.Equal(t, table.size(), 0)
}
