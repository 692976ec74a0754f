package reservation

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// A field that is lost between two VMs lets a stream go on at another build.
func TestDemandKeepsAllFieldsOnTheWire(t *testing.T) {
	d := scheduling.Demand{
		ID:   engine.AttemptID{VM: "vm", Incarnation: 1, Request: 2, Attempt: 3},
		Zone: "a", Team: "t", Class: "c", Model: "m", Priority: 4, Order: configuration.OrderFirstCome, Share: 5, QueueLimit: 6,
		PromptTokens: 7, Blocks: []uint64{8}, OutputTokens: 9,
		Targets: configuration.Targets{FirstToken: 10, BetweenTokens: 11, WholeAnswer: 12},
		Weights: configuration.Weights{Goodput: 13, WastedPrefill: 14},
		Waited:  15, Exclude: []string{"e"}, Build: "v1", Resumed: true,
		Strict: true, Urgency: 16, PriorWait: 17, RetryWithin: 18,
	}
	value := reflect.ValueOf(d)
	for i := range value.NumField() {
		assert.Assert(t, !value.Field(i).IsZero(), "the test sets no %s", value.Type().Field(i).Name)
	}
	assert.DeepEqual(t, demandFromProto(demandToProto(&d)), d)
}
