package standin

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExampleSettingsAreValid(t *testing.T) {
	data, err := os.ReadFile("../../examples/standin.json")
	assert.NilError(t, err)
	options, err := ParseSettings("standin.json", data)
	assert.NilError(t, err)
	assert.Equal(t, len(options.Engines), 6)
	assert.Equal(t, options.Engines[1].Slots, 20)
	assert.Equal(t, options.Log.AppendsPerSecond, 400.0)
}

func TestSettingsReportAllFindingsWithTheirPositions(t *testing.T) {
	_, err := ParseSettings("f.json", []byte(`{
  "log": {"address": "192.0.2.1:9001", "retention": "soon"},
  "engines": [
    {"name": "e", "zone": "a", "role": "decode", "slots": -1, "address": "127.0.0.1:9001"},
    {"name": "e", "zone": "", "role": "both", "address": "127.0.0.1:9001", "colour": 1},
  ],
}`))
	assert.Error(t, err, strings.Join([]string{
		`f.json:2: log.address: 192.0.2.1:9001 is not on the loopback interface`,
		`f.json:2: log.retention: time: invalid duration "soon"`,
		`f.json:4: engines[0].slots: must not be negative`,
		`f.json:5: engines[1].address: 127.0.0.1:9001 is already the address at engines[0].address`,
		`f.json:5: engines[1].colour: unknown field; known are adapters, address, cache_blocks, cache_event_lag, ` +
			`cache_event_loss, checks_fencing, hide_load, kv_bytes_per_token, kv_retention, link_bytes_per_second, load_lag, ` +
			`memory_pieces, model, name, order_duration, output_tokens, piece_tokens, prefill_tokens_per_second, ` +
			`queue_limit, role, seed, slots, token_interval, token_interval_per_request, version, zone`,
		`f.json:5: engines[1].name: "e" is already the name at engines[0].name`,
		`f.json:5: engines[1].role: "both" is none of ["prefill" "decode"]`,
		`f.json:5: engines[1].zone: missing`,
	}, "\n"))
}
