package settings

import (
	"os"

	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

// Load reads and checks a settings file. The error is a *finding.Error with
// all findings, or the error of reading the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse decodes and checks settings; the file name labels findings. Certificate
// files are read, relative to the working directory. The error is a
// *finding.Error with all findings.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	err := jsonc.Parse(file, data, s, func(report *finding.Report) {
		s.applyDependentDefaults()
		s.Validate(report)
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// applyDependentDefaults fills in what defaults to another setting.
func (s *Settings) applyDependentDefaults() {
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
}
