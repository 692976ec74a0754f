package questionnaire

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAllFindingsAreReportedTogether(t *testing.T) {
	data, err := os.ReadFile("testdata/broken.json")
	assert.NilError(t, err)
	_, err = Parse("broken.json", data)
	golden.Assert(t, err.Error()+"\n", "broken.findings")
}

const base = `{
  "format": 1,
  "zones": [
    {"name": "zone-a", "entry_vms": [{"name": "entry-a", "address": "10.0.0.1:7400"}]},
    {"name": "zone-b", "entry_vms": [{"name": "entry-b", "address": "10.0.0.2:7400"}]}
  ],
  "services": [
    {"name": "drafting", "model": {"name": "drafter"}, "engines": [
      {"zone": "zone-a", "role": "prefill", "count": 2, "address": "10.0.1.{n}:9100", "first_number": 5},
      {"zone": "zone-a", "role": "prefill", "addresses": ["10.0.1.20:9100"]},
      {"zone": "zone-b", "role": "decode", "addresses": ["10.0.2.1:9100"]}]},
    {"name": "desk", "instances": [{"zone": "zone-a", "addresses": ["10.0.3.1:8080"]}]}
  ],
  "teams": [{
    "name": "one",
    "key_digests": ["ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12ab12"],
    "classes": [
      {"name": "summary", "service": "drafting", "targets": {"first_token": "10s", "between_tokens": "100ms"}},
      {"name": "lookup", "service": "desk", "path": "/x/*", "targets": {"whole_answer": "1s"}},
      {"name": "booking", "service": "desk", "method": "POST", "path": "/x", "repeat": "never", "key": "required", "targets": {"whole_answer": "1s"}}
    ]
  }]
}`

func generate(t *testing.T, input string) configuration.Bundle {
	t.Helper()
	q, err := Parse("base.json", []byte(input))
	assert.NilError(t, err)
	bundle, err := Generate(q)
	assert.NilError(t, err)
	return bundle
}

func TestGeneratedConfiguration(t *testing.T) {
	text, err := json.MarshalIndent(generate(t, base), "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "base.bundle.json")
}

func TestEnginesHaveTheBuildOfTheirPool(t *testing.T) {
	bundle := generate(t, strings.Replace(base, `"role": "decode",`, `"role": "decode", "build": "v1.2",`, 1))
	for _, e := range bundle.Fleet.Endpoints {
		want := ""
		if e.Role == configuration.RoleDecode {
			want = "v1.2"
		}
		assert.Equal(t, e.Build, want, e.Name)
	}
}

// TestFindings changes one value of base at a time.
func TestFindings(t *testing.T) {
	for _, test := range []struct{ name, from, to, want string }{
		{"never repeatable without key rule", `"key": "required", `, ``,
			`base.json:20: teams[0].classes[2].key: required: a class that may never be repeated`},
		{"first token target below the time of idle engines", `"first_token": "10s"`, `"first_token": "800ms"`,
			`base.json:18: teams[0].classes[0].targets.first_token: no configured engine can meet 800ms: even idle ones take 9.212s`},
		{"between tokens target below the interval of an idle engine", `"between_tokens": "100ms"`, `"between_tokens": "19ms"`,
			`no configured engine can meet 19ms: even idle ones take 20ms`},
		{"whole answer target below the time of idle engines", `"100ms"}`, `"100ms", "whole_answer": "19s"}`,
			`no configured engine can meet 19s: even idle ones take 19.192s`},
		{"slow link between prefill and decode", `"format": 1,`, `"format": 1, "links": [{"from": "zone-b", "to": "zone-a", "bytes_per_second": 1000000}],`,
			`no configured engine can meet 10s`},
		{"answer longer than the drain limit", `"100ms"}`, `"2s"}`,
			`base.json:18: teams[0].classes[0].targets: an answer may take 16m48s, longer than times.drain_limit`},
		{"answer longer than the key window", `"format": 1,`, `"format": 1, "times": {"key_window": "1s", "clock_skew": "1ms"},`,
			`not shorter than times.key_window`},
		{"prompt larger than engine memory", `"role": "decode",`, `"role": "decode", "memory_pieces": 4,`,
			`no prefill and decode engine of service "drafting" have memory for 8000 prompt and 500 output tokens`},
		{"zone without entry VM", `{"name": "entry-b", "address": "10.0.0.2:7400"}`, ``,
			`base.json:5: zones[1].entry_vms: give at least one entry VM`},
		{"model without decode engine", `"role": "decode"`, `"role": "prefill"`,
			`services[0].engines: model "drafter" has no decode engine`},
		{"model-backed class that may never be repeated", `"service": "drafting",`, `"service": "drafting", "repeat": "never", "key": "required",`,
			`a model-backed class must be "repeatable"`},
		{"token limit above the maximum", `"service": "drafting",`, `"service": "drafting", "max_prompt_tokens": 9223372036854775807,`,
			`must be from 1 to 100000000`},
		{"link between a zone and itself", `"format": 1,`, `"format": 1, "links": [{"from": "zone-a", "to": "zone-a"}],`,
			`links[0].to: a link joins two different availability zones`},
		{"link with a missing zone", `"format": 1,`, `"format": 1, "links": [{"from": "zone-a"}],`, `links[0].to: required`},
		{"port 0", `"10.0.0.1:7400"`, `"10.0.0.1:0"`, `zones[0].entry_vms[0].address: the port must not be 0`},
		{"missing zone name", `"name": "zone-a", `, ``, `zones[0].name: required`},
		{"plain class on a model's path", `"/x/*"`, `"/v1/completions"`, `/v1/completions is for model-backed classes`},
		{"wildcard inside a path", `"/x/*"`, `"/x/*/y"`, `"/*" may only stand at its end`},
		{"plain class without path", `"path": "/x/*", `, ``, `classes[1].path: required for a plain class`},
		{"token limit of a plain class", `"path": "/x/*",`, `"path": "/x/*", "max_prompt_tokens": 1,`, `are for model-backed classes only`},
		{"negative delay", `"format": 1,`, `"format": 1, "zone_link": {"one_way_delay": "-1s"},`, `zone_link.one_way_delay: must not be negative, is -1s`},
		{"clock skew above the key window", `"format": 1,`, `"format": 1, "times": {"clock_skew": "5h"},`,
			`times.clock_skew: 5h0m0s is not below key_window, which is 4h0m0s`},
		{"between tokens target above the whole answer target", `"100ms"}`, `"30s", "whole_answer": "20s"}`,
			`between_tokens: 30s contradicts whole_answer, which is 20s`},
		{"build of an instance", `"addresses": ["10.0.3.1:8080"]`, `"build": "v1", "addresses": ["10.0.3.1:8080"]`,
			`services[1].instances[0].build: only engines have a build`},
		{"pool above the maximum size", `"count": 2`, `"count": 2000000000`, `a pool has at most 10000 endpoints`},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(base, test.from, test.to, 1)
			assert.Assert(t, changed != base)
			_, err := Parse("base.json", []byte(changed))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	broken, err := os.ReadFile("testdata/broken.json")
	assert.NilError(f, err)
	f.Add(broken)
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := Parse("f.json", data)
		if err != nil {
			return
		}
		_, err = Generate(q)
		assert.NilError(t, err)
	})
}
