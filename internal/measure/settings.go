package measure

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Settings describe a measurement.
type Settings struct {
	// Title is printed above the results.
	Title string `json:"title"`
	// Questionnaire is the path of the deployment's questionnaire, relative to
	// the settings file. The deployment runs in the process of the tool.
	Questionnaire string `json:"questionnaire"`
	// System describes a running system to measure instead of a deployment that
	// is generated from Questionnaire.
	System *System `json:"system"`
	// BearerKeys maps the names of teams to their bearer keys.
	BearerKeys map[string]string `json:"bearer_keys"`
	// OutputTokens is the range of the stand-ins' answer lengths, in tokens.
	OutputTokens engine.Range `json:"output_tokens"`
	// Seed seeds the random generator, so that arrivals, prompts and choices are
	// reproducible.
	Seed uint64 `json:"seed" default:"1"`
	// WarmUp precedes Duration at the same load; its requests are checked but
	// not measured.
	WarmUp   configuration.Duration `json:"warm_up"`
	Duration configuration.Duration `json:"duration" default:"10s"`
	// MemoryWait limits the wait after a run for the engines to release all of
	// their KV cache memory.
	MemoryWait configuration.Duration `json:"memory_wait" default:"5s"`
	// Variants are measured with the same seed at each of Loads, which are rates
	// relative to the capacity.
	Variants []Variant `json:"variants"`
	Loads    []float64 `json:"loads"`
	// Load describes the requests.
	Load Load `json:"load"`
	// FaultRuns are additional points, with injected faults and the first variant.
	FaultRuns []FaultRun `json:"fault_runs"`
}

// System describes a running system.
type System struct {
	// Addresses are the addresses for callers of the entry VMs.
	Addresses []string `json:"addresses"`
	// Configuration is the path of its configuration, relative to the settings
	// file.
	Configuration string `json:"configuration"`
	// Engines and Plain are the addresses of its stand-ins. If both are empty,
	// the checks that need the counters of the stand-ins check no case and pass.
	Engines []string `json:"engines"`
	Plain   []string `json:"plain"`
}

// Variant is a scheduling policy with its weights.
type Variant struct {
	// Name labels the results. It defaults to the name of the policy.
	Name   string `json:"name"`
	Policy string `json:"policy" default:"reservation"`
	// Weights, if set, replace the weights of all teams.
	Weights *configuration.Weights `json:"weights"`
}

// FaultRun is a point with injected faults.
type FaultRun struct {
	Load   float64 `json:"load"`
	Faults []Fault `json:"faults"`
}

// Limits of a measurement. maxLoad is relative to the capacity.
const (
	maxPoints       = 100
	maxPointSeconds = 600
	maxLoad         = 10
)

// ParseSettings decodes settings from JSON with comments and checks them. The
// error is a *finding.Error with all findings, which are labelled with the file
// name.
func ParseSettings(file string, data []byte) (*Settings, error) {
	settings := &Settings{}
	err := jsonc.Parse(file, data, settings, settings.validate)
	if err != nil {
		return nil, err
	}
	return settings, nil
}

// validate applies the defaults and reports all findings.
func (s *Settings) validate(report *finding.Report) {
	jsonc.ApplyDefaults(s)
	if len(s.Variants) == 0 {
		s.Variants = []Variant{{Policy: RouterPolicy}}
	}
	for i := range s.Variants {
		s.Variants[i].validate(report, fmt.Sprintf("variants[%d]", i))
	}
	s.validateDeployment(report)
	s.validateBounds(report)
	s.Load.validate(report)
	for i, load := range s.Loads {
		checkLoad(report, fmt.Sprintf("loads[%d]", i), load)
	}
	for i := range s.FaultRuns {
		s.FaultRuns[i].validate(report, fmt.Sprintf("fault_runs[%d]", i))
	}
}

func (s *Settings) validateDeployment(report *finding.Report) {
	if (s.Questionnaire == "") == (s.System == nil) {
		report.Addf("questionnaire", "either a questionnaire or a running system is required")
	}
	if s.System == nil {
		return
	}
	if len(s.System.Addresses) == 0 || s.System.Configuration == "" {
		report.Addf("system", "addresses and configuration are required")
	}
	if len(s.FaultRuns) > 0 {
		report.Addf("fault_runs", "faults can be set in the stand-ins of this process only")
	}
	if len(s.Variants) > 1 || s.Variants[0].Policy != RouterPolicy || s.Variants[0].Weights != nil {
		report.Addf("variants", "a running system has the policy %q and its own weights only", RouterPolicy)
	}
}

func (s *Settings) validateBounds(report *finding.Report) {
	if points := len(s.Variants)*len(s.Loads) + len(s.FaultRuns); points == 0 || points > maxPoints {
		report.Addf("loads", "from 1 to %d points are possible, not %d", maxPoints, points)
	}
	if s.Duration <= 0 || s.WarmUp < 0 || (s.Duration+s.WarmUp).D().Seconds() > maxPointSeconds {
		report.Addf("duration", "warm_up and duration together must be above 0 and at most %d s", maxPointSeconds)
	}
	if s.OutputTokens.Min < 1 || s.OutputTokens.Max < s.OutputTokens.Min {
		report.Addf("output_tokens", "needs 1 <= min <= max")
	}
}

func (v *Variant) validate(report *finding.Report, path string) {
	if v.Name == "" {
		v.Name = v.Policy
	}
	if !slices.Contains(scheduling.PolicyNames(), v.Policy) {
		report.Addf(path+".policy", "%q is none of %s", v.Policy, strings.Join(scheduling.PolicyNames(), ", "))
	}
}

func (l *Load) validate(report *finding.Report) {
	if len(l.Classes) == 0 {
		report.Addf("load.classes", "at least one class is required")
	}
	for i, c := range l.Classes {
		if c.Weight <= 0 {
			report.Addf(fmt.Sprintf("load.classes[%d].weight", i), "must be above 0")
		}
	}
	checkShare(report, "load.gone_share", l.GoneShare)
	checkShare(report, "load.repeat_share", l.RepeatShare)
	for i, b := range l.Bursts {
		if b.Factor < 1 || b.Duration <= 0 || b.Start < 0 {
			report.Addf(fmt.Sprintf("load.bursts[%d]", i), "needs a factor of at least 1, a start and a duration")
		}
	}
}

func (f *FaultRun) validate(report *finding.Report, path string) {
	checkLoad(report, path+".load", f.Load)
	for i, fault := range f.Faults {
		at := fmt.Sprintf("%s.faults[%d]", path, i)
		if !slices.Contains(FaultKinds(), fault.Kind) {
			report.Addf(at+".kind", "%q is none of %v", fault.Kind, FaultKinds())
		}
		if fault.Kind == FaultVMStop && fault.Endpoint == "" {
			report.Addf(at+".endpoint", "%s needs the name of an entry VM", FaultVMStop)
		}
		if fault.Start < 0 || fault.Duration < 0 {
			report.Addf(at, "start and duration must not be negative")
		}
	}
}

func checkLoad(report *finding.Report, path string, load float64) {
	if load <= 0 || load > maxLoad {
		report.Addf(path, "must be above 0 and at most %d", maxLoad)
	}
}

func checkShare(report *finding.Report, path string, share float64) {
	if share < 0 || share > 1 {
		report.Addf(path, "must be from 0 to 1")
	}
}
