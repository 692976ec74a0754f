package questionnaire

import (
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

// Option changes which problems are reported as findings.
type Option func(*options)

type options struct {
	allowUnassigned bool
}

// AllowUnassigned accepts endpoints and entry VMs without an address or with
// port 0. The generated configuration is then meant for a program that starts the
// endpoints and fills in their addresses, such as the demo; it cannot be
// published unchanged.
func AllowUnassigned() Option {
	return func(o *options) { o.allowUnassigned = true }
}

func applyOptions(opts []Option) options {
	var o options
	for _, option := range opts {
		option(&o)
	}
	return o
}

// Parse decodes a questionnaire, applies defaults and validates it. The file name
// is only used in findings. The error is a *finding.Error with all findings.
func Parse(file string, data []byte, opts ...Option) (*Questionnaire, error) {
	q := &Questionnaire{}
	err := jsonc.Parse(file, data, q, func(report *finding.Report) {
		q.applyDefaults()
		q.validate(report, applyOptions(opts))
	})
	if err != nil {
		return nil, err
	}
	return q, nil
}
