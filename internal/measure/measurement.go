package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin"
)

// Measurement measures all points of its settings.
type Measurement struct {
	Settings *Settings
	// Dir is the directory that file names in the settings are relative to.
	Dir string
	// Out receives a line for each point.
	Out io.Writer
	// Progress is called with the counts of requests during a run; nil disables
	// it.
	Progress func(Progress)

	bundle configuration.Bundle
	result *Result
}

// Run measures all points. With an error, it returns the points measured so far.
func (m *Measurement) Run(ctx context.Context) (*Result, error) {
	m.result = &Result{
		Title:   m.Settings.Title,
		Started: time.Now().Round(time.Second),
		Machine: thisMachine(),
		Seed:    m.Settings.Seed,
		Seconds: m.Settings.Duration.D().Seconds(),
	}
	if err := m.prepare(); err != nil {
		return m.result, err
	}
	for i, run := range m.runs() {
		_, _ = fmt.Fprintf(m.Out, "point %d: %s at %.2f (%.1f requests/s) %s\n", i+1, run.Variant, run.Load, run.Rate, faultName(run.Faults))
		point, err := m.point(ctx, &run)
		if err != nil {
			return m.result, err
		}
		m.result.Points = append(m.result.Points, point)
	}
	return m.result, nil
}

// variantRun is a run of a variant.
type variantRun struct {
	Run
	variant *Variant
}

// prepare reads the configuration and computes the capacity.
func (m *Measurement) prepare() error {
	var err error
	if m.Settings.System != nil {
		err = m.readConfiguration()
	} else {
		err = m.readQuestionnaire()
	}
	if err != nil {
		return err
	}
	m.result.Capacity, err = CapacityOf(&m.bundle, &m.Settings.Load, m.Settings.OutputTokens)
	return err
}

func (m *Measurement) readConfiguration() error {
	data, err := os.ReadFile(filepath.Join(m.Dir, m.Settings.System.Configuration))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &m.bundle)
}

func (m *Measurement) readQuestionnaire() error {
	file := filepath.Join(m.Dir, m.Settings.Questionnaire)
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	m.bundle, err = localsite.BundleOf(file, data)
	return err
}

// runs lists the runs: all variants at each load, then the runs with faults.
func (m *Measurement) runs() []variantRun {
	var all []variantRun
	for _, load := range m.Settings.Loads {
		for i := range m.Settings.Variants {
			all = append(all, m.newRun(&m.Settings.Variants[i], load, nil))
		}
	}
	for _, f := range m.Settings.FaultRuns {
		all = append(all, m.newRun(&m.Settings.Variants[0], f.Load, f.Faults))
	}
	return all
}

func (m *Measurement) newRun(variant *Variant, load float64, faults []Fault) variantRun {
	return variantRun{variant: variant, Run: Run{
		Variant:    variant.Name,
		Policy:     variant.Policy,
		Load:       load,
		Rate:       load * m.result.Capacity.Rate(),
		WarmUp:     m.Settings.WarmUp.D(),
		Duration:   m.Settings.Duration.D(),
		Seed:       m.Settings.Seed,
		Faults:     faults,
		MemoryWait: m.Settings.MemoryWait.D(),
		Progress:   m.Progress,
	}}
}

// point measures one point, on a new deployment unless the settings name a running
// system.
func (m *Measurement) point(ctx context.Context, run *variantRun) (Point, error) {
	if m.Settings.System != nil {
		return systemTarget(m.Settings.System, &m.bundle, m.Settings).Measure(ctx, &m.Settings.Load, &run.Run)
	}
	site, err := localsite.Start(ctx, localsite.Options{
		Bundle:   m.bundleOf(run.variant),
		Tune:     m.tune,
		Reserver: reserverOf(run.variant.Policy, m.Settings.Seed),
	})
	if err != nil {
		return Point{}, err
	}
	target := SiteTarget(site, m.Settings.BearerKeys, m.Settings.OutputTokens)
	point, err := target.Measure(ctx, &m.Settings.Load, &run.Run)
	return point, errors.Join(err, site.Close(context.WithoutCancel(ctx)))
}

// bundleOf returns a copy of the configuration with the weights of a variant. It
// copies the VMs and endpoints because the site writes addresses into them.
func (m *Measurement) bundleOf(variant *Variant) configuration.Bundle {
	bundle := m.bundle
	bundle.Fleet.VMs = slices.Clone(bundle.Fleet.VMs)
	bundle.Fleet.Endpoints = slices.Clone(bundle.Fleet.Endpoints)
	bundle.Teams = slices.Clone(bundle.Teams)
	for i := range bundle.Teams {
		if variant.Weights != nil {
			bundle.Teams[i].Weights = *variant.Weights
		}
	}
	return bundle
}

// tune sets the options of the stand-ins that a configuration does not contain.
func (m *Measurement) tune(options *standin.Options) {
	for i := range options.Engines {
		options.Engines[i].OutputTokens = m.Settings.OutputTokens
	}
}
