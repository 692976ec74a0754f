package scheduling

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAddAddsEveryCounter(t *testing.T) {
	var total, other Counters
	fields := reflect.ValueOf(&other).Elem()
	for i := range fields.NumField() {
		fields.Field(i).SetUint(uint64(i + 1))
	}
	total.Add(&other)
	assert.DeepEqual(t, total, other)
	total.Add(&other)
	for i := range fields.NumField() {
		assert.Equal(t, reflect.ValueOf(total).Field(i).Uint(), 2*fields.Field(i).Uint(), fields.Type().Field(i).Name)
	}
}
