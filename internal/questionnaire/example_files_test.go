package questionnaire

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// size counts the elements of a configuration.
type size struct {
	zones, vms, prefill, decode, plain, classes, links int
}

func sizeOf(b configuration.Bundle) size {
	s := size{zones: len(b.Fleet.Zones), vms: len(b.Fleet.VMs), links: len(b.Fleet.Links)}
	for _, e := range b.Fleet.Endpoints {
		switch {
		case e.Kind == configuration.KindPlain:
			s.plain++
		case e.Role == configuration.RolePrefill:
			s.prefill++
		default:
			s.decode++
		}
	}
	for _, team := range b.Teams {
		s.classes += len(team.Classes)
	}
	return s
}

func TestExamplesGenerate(t *testing.T) {
	for _, test := range []struct {
		file    string
		options []Option
		want    size
	}{
		{"blechklang.json", nil, size{zones: 3, vms: 6, prefill: 6, decode: 14, plain: 3, classes: 4, links: 3}},
		{"abbina.json", nil, size{zones: 4, vms: 8, prefill: 8, decode: 12, plain: 4, classes: 4, links: 6}},
		{"quickstart.json", []Option{AllowUnassigned()}, size{zones: 2, vms: 2, prefill: 2, decode: 4, plain: 2, classes: 4, links: 1}},
	} {
		t.Run(test.file, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("..", "..", "examples", test.file))
			assert.NilError(t, err)
			q, err := Parse(test.file, data, test.options...)
			assert.NilError(t, err)
			bundle, err := Generate(q, test.options...)
			assert.NilError(t, err)
			assert.Equal(t, sizeOf(bundle), test.want)
		})
	}
}

func TestUnassignedAddressesNeedTheOption(t *testing.T) {
	data, err := os.ReadFile("../../examples/quickstart.json")
	assert.NilError(t, err)
	_, err = Parse("quickstart.json", data)
	assert.ErrorContains(t, err, "zones[0].entry_vms[0].address: required")
	assert.ErrorContains(t, err, "services[0].engines[1].address: required")
	q, err := Parse("quickstart.json", data, AllowUnassigned())
	assert.NilError(t, err)
	_, err = Generate(q)
	assert.ErrorContains(t, err, "services[1].instances[0].address: required")
}
