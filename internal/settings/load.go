package settings

import (
	"os"

	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

// Load reads and validates a settings file. The error is a *finding.Error with
// all findings, or the error from reading the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse decodes and validates settings; the file name is only used in findings.
// It also reads the certificate files, whose names are relative to the working
// directory. The error is a *finding.Error with all findings.
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

// applyDependentDefaults sets the fields whose default is the value of another
// field.
func (s *Settings) applyDependentDefaults() {
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
}
