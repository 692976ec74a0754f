package jsonc

import (
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/finding"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type sample struct {
	Name   string                 `json:"name"`
	Count  int                    `json:"count"`
	Wait   configuration.Duration `json:"wait"`
	List   []inner                `json:"list"`
	Map    map[string]inner       `json:"map"`
	Option *bool                  `json:"option"`
}

type inner struct {
	Flag bool `json:"flag"`
}

func decode(input string) (sample, *Lines, error) {
	var target sample
	var report finding.Report
	lines := Decode("f.json", []byte(input), &target, &report)
	return target, lines, report.Err()
}

func TestDecodeAcceptsCommentsAndTrailingCommas(t *testing.T) {
	got, _, err := decode(`{
		// a comment with a { brace and a " quote
		"name": "a\"[[", /* [ */ "wait": "1.5s",
		"list": [{"flag": true},],
		"map": {"x.y": {"flag": true}},
		"option": true,
	}`)
	assert.NilError(t, err)
	assert.Equal(t, got.Name, `a"[[`)
	assert.Equal(t, got.Wait.D().String(), "1.5s")
	assert.DeepEqual(t, got.List, []inner{{Flag: true}})
	assert.DeepEqual(t, got.Map, map[string]inner{"x.y": {Flag: true}})
	assert.Assert(t, *got.Option)
}

func TestDecodeReportsAllFindings(t *testing.T) {
	_, _, err := decode(`{
  "name": 3,
  "Count": 1,
  "count": 1.5,
  "wait": "soon",
  "list": [{"flag": true}, {"flag": "x", "flog": 1}, 7],
  "map": {"x.y": {"flag": null}, "a": {}, "a": {}},
  "name": "again",
  "option": []
}`)
	assert.Error(t, err, strings.Join([]string{
		`f.json:2: name: expected a string, found number`,
		`f.json:3: Count: unknown field; known are count, list, map, name, option, wait`,
		`f.json:4: count: expected an integer, found number 1.5`,
		`f.json:5: wait: time: invalid duration "soon"`,
		`f.json:6: list[1].flag: expected a boolean, found string`,
		`f.json:6: list[1].flog: unknown field; known are flag`,
		`f.json:6: list[2]: expected an object, found a number`,
		`f.json:7: map.a: duplicate key, first given in line 7`,
		`f.json:7: map["x.y"].flag: expected a boolean, found null`,
		`f.json:8: name: duplicate key, first given in line 2`,
		`f.json:9: option: expected a boolean, found array`,
	}, "\n"))
}

func TestSyntaxErrorHasItsLine(t *testing.T) {
	_, _, err := decode("{\n\"name\": \n}")
	assert.ErrorContains(t, err, "f.json:3: syntax error: column 1")
}

func TestInputAboveLimitsIsRejected(t *testing.T) {
	_, _, err := decode(strings.Repeat("[", MaxDepth+1))
	assert.ErrorContains(t, err, "nested deeper")
	_, _, err = decode(strings.Repeat(" ", MaxBytes+1))
	assert.ErrorContains(t, err, "larger than")
}

func TestMissingPathHasLineOfParent(t *testing.T) {
	_, lines, err := decode("{\n\"list\": [\n{},\n{}]}")
	assert.NilError(t, err)
	assert.Equal(t, lines.Line("list[1].flag.deeper"), 4)
	assert.Equal(t, lines.Line("list"), 2)
	assert.Equal(t, lines.Line("absent"), 1)
}

func TestParseReportsDecodingAndValidationTogether(t *testing.T) {
	var target sample
	err := Parse("f.json", []byte("{\n\"name\": 1,\n\"list\": [{}, 5]}"), &target, func(r *finding.Report) {
		r.Addf("name", "left out, it could not be decoded")
		r.Addf("list[1].flag", "left out, it lies below")
		r.Addf("list[0]", "kept")
		r.Addf("names", "kept")
	})
	assert.Error(t, err, strings.Join([]string{
		"f.json:1: names: kept",
		"f.json:2: name: expected a string, found number",
		"f.json:3: list[0]: kept",
		"f.json:3: list[1]: expected an object, found a number",
	}, "\n"))
}

func TestParseStopsAtASyntaxError(t *testing.T) {
	var target sample
	err := Parse("f.json", []byte("{"), &target, func(r *finding.Report) { r.Addf("name", "not reached") })
	assert.ErrorContains(t, err, "syntax error")
	assert.Assert(t, !strings.Contains(err.Error(), "not reached"))
}

func TestApplyDefaults(t *testing.T) {
	type element struct {
		Text string                 `default:"true"`
		Wait configuration.Duration `default:"3s"`
	}
	type outer struct {
		Count   int `default:"7"`
		Kept    int `default:"7"`
		List    []element
		Pointer *element
		Absent  *element
	}
	got := outer{Kept: 2, List: make([]element, 1), Pointer: &element{Text: "x"}}
	ApplyDefaults(&got)
	wait := configuration.Duration(3 * time.Second)
	assert.DeepEqual(t, got, outer{
		Count:   7,
		Kept:    2,
		List:    []element{{Text: "true", Wait: wait}},
		Pointer: &element{Text: "x", Wait: wait},
	})
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"name": "x", "count": 1}`, `{"list": [{"flag": true,},], /* c */}`, `[`, `{"a"`, "// only",
		`{"map": {"": {"flag": false}}, "map": 1}`, `{"wait": "1s", "option": null}`, "\xff", `"\ud800"`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input string) {
		_, lines, err := decode(input)
		count := strings.Count(input, "\n") + 1
		assert.Assert(t, lines.Line("") <= count)
		if err == nil {
			return
		}
		var findings *finding.Error
		assert.Assert(t, errors.As(err, &findings))
		for _, found := range findings.Findings {
			assert.Equal(t, found.File, "f.json")
			assert.Assert(t, found.Line >= 1 && found.Line <= count, "%s", found)
			assert.Assert(t, found.Problem != "")
		}
	})
}
