package configuration

import "github.com/ospreyshed/ospreyshed/internal/finding"

// Validate checks a whole bundle and reports all findings by JSON path. It
// returns nil or a *finding.Error.
func Validate(bundle Bundle) error {
	var report finding.Report
	if bundle.Format != Format {
		report.Addf("format", "is %d, must be %d", bundle.Format, Format)
	}
	return report.Err()
}
