package measure

import (
	"encoding/json"
	"os"
	"runtime"
	"time"
)

// Result holds the results of a measurement.
type Result struct {
	Title string `json:"title"`
	// Started is the time at which the measurement began, Machine describes the
	// machine on which it ran.
	Started time.Time `json:"started"`
	Machine Machine   `json:"machine"`
	Seed    uint64    `json:"seed"`
	// Seconds is the measured duration of each point, without the warm-up.
	Seconds  float64  `json:"seconds"`
	Capacity Capacity `json:"capacity"`
	Points   []Point  `json:"points"`
}

// Machine describes the machine on which a measurement ran.
type Machine struct {
	Cores int    `json:"cores"`
	OS    string `json:"os"`
	Arch  string `json:"arch"`
	Go    string `json:"go"`
}

func thisMachine() Machine {
	return Machine{Cores: runtime.NumCPU(), OS: runtime.GOOS, Arch: runtime.GOARCH, Go: runtime.Version()}
}

const resultFileMode = 0o644

// WriteFile writes the result as JSON.
func (r *Result) WriteFile(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return BadResult.Wrap(err, "%s", file)
	}
	return os.WriteFile(file, append(data, '\n'), resultFileMode)
}

// ReadFile reads a result. The error is BadResult.
func ReadFile(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, BadResult.Wrap(err, "%s", file)
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, BadResult.Wrap(err, "%s", file)
	}
	return r, nil
}

// Broken returns the number of failed checks over all points.
func (r *Result) Broken() int {
	broken := 0
	for i := range r.Points {
		broken += len(r.Points[i].Broken())
	}
	return broken
}
