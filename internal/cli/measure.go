package cli

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/measure"
)

var measureCommand = command{
	name:  "measure",
	short: "Measure goodput and wasted prefill under load and check the promises",
	long: "Sends an open-loop load to a deployment of this process or to a running system and prints goodput, " +
		"wasted prefill, refusals and latencies for each load, policy and fault. Exit codes: 0 if all promises " +
		"were kept, 1 if one was broken or a run failed, 2 for bad settings. " +
		"It shows its progress and stops by itself.",
	new: func(b base) flags.Commander { return &measureRun{base: b} },
	children: []command{
		{
			name:  "show",
			short: "Print the tables of a result file",
			long:  "Prints the tables of a result file and draws its plot.",
			new:   func(b base) flags.Commander { return &measureShow{base: b} },
		},
		{
			name:  "compare",
			short: "Compare two result files",
			long:  "Prints the values and ratios of the points that two result files have in common.",
			new:   func(b base) flags.Commander { return &measureCompare{base: b} },
		},
	},
}

type measureRun struct {
	base

	Settings string `long:"settings" value-name:"FILE" description:"settings, JSON with comments; required"`
	JSON     string `long:"json" value-name:"FILE" description:"write the results to a file"`
	Plot     string `long:"plot" value-name:"FILE" description:"draw goodput and wasted prefill over load as SVG"`
}

// Execute implements flags.Commander.
func (m *measureRun) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	if m.Settings == "" {
		return &usageError{"--settings is required"}
	}
	data, err := os.ReadFile(m.Settings)
	if err != nil {
		return &usageError{err.Error()}
	}
	settings, err := measure.ParseSettings(m.Settings, data)
	if err != nil {
		return err
	}
	measurement := &measure.Measurement{
		Settings: settings,
		Dir:      filepath.Dir(m.Settings),
		Out:      m.streams.Err,
		Progress: newProgressPrinter(m.streams.Err).show,
	}
	result, err := measurement.Run(m.ctx)
	return errors.Join(err, m.write(result))
}

// write prints the tables, writes the files and returns an error if a check
// failed.
func (m *measureRun) write(result *measure.Result) error {
	err := measure.WriteResult(m.streams.Out, result)
	if m.JSON != "" {
		err = errors.Join(err, result.WriteFile(m.JSON))
	}
	if m.Plot != "" {
		err = errors.Join(err, writePlot(m.Plot, result))
	}
	if broken := result.Broken(); broken > 0 {
		err = errors.Join(err, measure.BrokenPromise.New("%d checks failed", broken))
	}
	return err
}

const plotFileMode = 0o644

func writePlot(file string, result *measure.Result) error {
	var drawn bytes.Buffer
	if err := measure.WritePlot(&drawn, result); err != nil {
		return err
	}
	return os.WriteFile(file, drawn.Bytes(), plotFileMode)
}

type measureShow struct {
	base

	Plot       string `long:"plot" value-name:"FILE" description:"draw goodput and wasted prefill over load as SVG"`
	Positional struct {
		File string `positional-arg-name:"RESULT.json" description:"result file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (m *measureShow) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	result, err := measure.ReadFile(m.Positional.File)
	if err != nil {
		return &usageError{err.Error()}
	}
	if m.Plot != "" {
		err = writePlot(m.Plot, result)
	}
	return errors.Join(err, measure.WriteResult(m.streams.Out, result))
}

type measureCompare struct {
	base

	Positional struct {
		A string `positional-arg-name:"A.json" description:"result file"`
		B string `positional-arg-name:"B.json" description:"result file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (m *measureCompare) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	a, err := measure.ReadFile(m.Positional.A)
	if err != nil {
		return &usageError{err.Error()}
	}
	b, err := measure.ReadFile(m.Positional.B)
	if err != nil {
		return &usageError{err.Error()}
	}
	comparisons, err := measure.Compare(a, b)
	if err != nil {
		return &usageError{err.Error()}
	}
	return measure.WriteComparisons(m.streams.Out, comparisons)
}
