package configuration

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

func TestValidBundleHasNoFindings(t *testing.T) {
	assert.NilError(t, Validate(testBundle("a", "b")))
}

func TestValidateReportsThePathOfEachFinding(t *testing.T) {
	for _, test := range []struct {
		path   string
		mutate func(*Bundle)
	}{
		{"format", func(b *Bundle) { b.Format = 2 }},
		{"fleet.zones", func(b *Bundle) { *b = Bundle{Format: Format, Fleet: Fleet{Times: b.Fleet.Times}} }},
		{"fleet.zones[2].name", func(b *Bundle) { b.Fleet.Zones = append(b.Fleet.Zones, Zone{Name: "zone-a"}) }},
		{"fleet.vms[0].name", func(b *Bundle) { b.Fleet.VMs[0].Name = "vm.1" }},
		{"fleet.vms[1].name", func(b *Bundle) { b.Fleet.VMs[1].Name = "vm-1" }},
		{"fleet.vms[0].zone", func(b *Bundle) { b.Fleet.VMs[0].Zone = "zone-x" }},
		{"fleet.vms[0].address", func(b *Bundle) { b.Fleet.VMs[0].Address = "host:9000" }},
		{"fleet.vms[0].address", func(b *Bundle) { b.Fleet.VMs[0].Address = "10.0.0.1" }},
		{"fleet.vms[1].address", func(b *Bundle) { b.Fleet.VMs[1].Address = "10.0.0.1:9000" }},
		{"fleet.endpoints[0].name", func(b *Bundle) { b.Fleet.Endpoints[0].Name = "vm-1" }},
		{"fleet.endpoints[0].zone", func(b *Bundle) { b.Fleet.Endpoints[0].Zone = "zone-x" }},
		{"fleet.endpoints[0].kind", func(b *Bundle) { b.Fleet.Endpoints[0].Kind = "other" }},
		{"fleet.endpoints[0].model", func(b *Bundle) { b.Fleet.Endpoints[0].Model = "other" }},
		{"fleet.endpoints[0].role", func(b *Bundle) { b.Fleet.Endpoints[0].Role = "" }},
		{"fleet.endpoints[0].service", func(b *Bundle) { b.Fleet.Endpoints[0].Service = "desk" }},
		{"fleet.endpoints[0].fencing", func(b *Bundle) { b.Fleet.Endpoints[0].Fencing = "maybe" }},
		{"fleet.endpoints[0].build", func(b *Bundle) { b.Fleet.Endpoints[0].Build = "v1 or v2" }},
		{"fleet.endpoints[0].adapters[1]", func(b *Bundle) { b.Fleet.Endpoints[0].Adapters = []string{"x", "x"} }},
		{"fleet.endpoints[1].slots", func(b *Bundle) { b.Fleet.Endpoints[1].Slots = 0 }},
		{"fleet.endpoints[4].service", func(b *Bundle) { b.Fleet.Endpoints[4].Service = "" }},
		{"fleet.endpoints[4].role", func(b *Bundle) { b.Fleet.Endpoints[4].Role = RoleDecode }},
		{"fleet.models[1].name", func(b *Bundle) { b.Fleet.Models = append(b.Fleet.Models, b.Fleet.Models[0]) }},
		{"fleet.models[0].prefill_tokens_per_second", func(b *Bundle) { b.Fleet.Models[0].PrefillTokensPerSecond = 0 }},
		{"fleet.models[0].kv_retention", func(b *Bundle) { b.Fleet.Models[0].KVRetention = -1 }},
		{"fleet.links[0].to", func(b *Bundle) { b.Fleet.Links[0].To = "zone-x" }},
		{"fleet.links[0].to", func(b *Bundle) { b.Fleet.Links[0].To = "zone-a" }},
		{"fleet.links[1]", func(b *Bundle) {
			b.Fleet.Links = append(b.Fleet.Links, Link{From: "zone-b", To: "zone-a", BytesPerSecond: 1})
		}},
		{"fleet.times.drain_limit", func(b *Bundle) { b.Fleet.Times.DrainLimit = 0; b.Teams = nil }},
		{"fleet.times.key_window", func(b *Bundle) { b.Fleet.Times.KeyWindow = seconds(3590) }},
		{"teams[1].name", func(b *Bundle) { b.Teams[1].Name = "a" }},
		{"teams[1].name", func(b *Bundle) { b.Teams[1].Name = "a.b" }},
		{"teams[0].key_digests", func(b *Bundle) { b.Teams[0].KeyDigests = nil }},
		{"teams[0].key_digests[0]", func(b *Bundle) { b.Teams[0].KeyDigests[0] = "secret" }},
		{"teams[1].key_digests[0]", func(b *Bundle) { b.Teams[1].KeyDigests = b.Teams[0].KeyDigests }},
		{"teams[0].weights", func(b *Bundle) { b.Teams[0].Weights = Weights{} }},
		{"teams[0].weights.goodput", func(b *Bundle) { b.Teams[0].Weights.Goodput = -1 }},
		{"teams[0].share", func(b *Bundle) { b.Teams[0].Share = -1 }},
		{"teams[0].classes[1].name", func(b *Bundle) { b.Teams[0].Classes[1].Name = "summary" }},
		{"teams[0].classes[0].model", func(b *Bundle) { b.Teams[0].Classes[0].Model = "other" }},
		{"teams[0].classes[1].service", func(b *Bundle) { b.Teams[0].Classes[1].Service = "other" }},
		{"teams[0].classes[0]", func(b *Bundle) { b.Teams[0].Classes[0].Service = "desk" }},
		{"teams[0].classes[2]", func(b *Bundle) { b.Teams[0].Classes[2].Service = "" }},
		{"teams[0].classes[0].method", func(b *Bundle) { b.Teams[0].Classes[0].Method = "post" }},
		{"teams[0].classes[0].path", func(b *Bundle) { b.Teams[0].Classes[0].Path = "v1" }},
		{"teams[0].classes[0].path", func(b *Bundle) { b.Teams[0].Classes[0].Path = "/*/v1" }},
		{"teams[0].classes[0].repeat", func(b *Bundle) { b.Teams[0].Classes[0].Repeat = "" }},
		{"teams[0].classes[1].key", func(b *Bundle) { b.Teams[0].Classes[1].Key = KeyOptional }},
		{"teams[0].classes[0].order", func(b *Bundle) { b.Teams[0].Classes[0].Order = "last" }},
		{"teams[0].classes[0].queue_limit", func(b *Bundle) { b.Teams[0].Classes[0].QueueLimit = -1 }},
		{"teams[0].classes[1].targets.between_tokens", func(b *Bundle) { b.Teams[0].Classes[1].Targets.BetweenTokens = 1 }},
		{"teams[0].classes[0].targets.whole_answer", func(b *Bundle) { b.Teams[0].Classes[0].Targets.WholeAnswer = seconds(1) }},
		{"teams[0].classes[0].targets.whole_answer", func(b *Bundle) { b.Teams[0].Classes[0].Targets.WholeAnswer = seconds(121) }},
		{"teams[0].classes[3]", func(b *Bundle) {
			class := b.Teams[0].Classes[1]
			class.Name, class.Repeat = "other", Repeatable
			b.Teams[0].Classes = append(b.Teams[0].Classes, class)
		}},
	} {
		t.Run(test.path, func(t *testing.T) {
			bundle := testBundle("a", "b")
			test.mutate(&bundle)
			assert.DeepEqual(t, pathsOf(Validate(bundle)), []string{test.path})
		})
	}
}

func TestValidateReportsAllFindingsTogether(t *testing.T) {
	bundle := testBundle("a")
	bundle.Teams[0].Weights = Weights{}
	bundle.Fleet.VMs[0].Zone = "zone-x"
	assert.DeepEqual(t, pathsOf(Validate(bundle)), []string{"fleet.vms[0].zone", "teams[0].weights"})
}

func pathsOf(err error) []string {
	var found *finding.Error
	var paths []string
	if errors.As(err, &found) {
		for _, f := range found.Findings {
			paths = append(paths, f.Path)
		}
	}
	return paths
}

func TestParseBundleReportsLines(t *testing.T) {
	const file = `{
  // A comment.
  "format": 2,
  "fleet": {
    "zones": [{"name": "a"},
      {"name": "a.b"}],
    "vms": [], "endpoints": [], "models": [],
    "times": {"drain_limit": "1m", "log_retention": "1h", "key_window": "1m"},
  },
}`
	_, err := ParseBundle("f.json", []byte(file))
	assert.ErrorContains(t, err, "f.json:3: format: is 2, must be 1")
	assert.ErrorContains(t, err, "f.json:6: fleet.zones[1].name:")
	_, err = ParseBundle("f.json", []byte("{\n\"formt\": 1}"))
	assert.ErrorContains(t, err, "f.json:2: json: unknown field \"formt\"")
	_, err = ParseBundle("f.json", []byte("{\n\"format\": \"x\"}"))
	assert.ErrorContains(t, err, "f.json:2: json: cannot unmarshal string")
}
