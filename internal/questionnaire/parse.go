package questionnaire

import (
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

// Option changes what counts as a finding.
type Option func(*options)

type options struct {
	allowUnassigned bool
}

// AllowUnassigned accepts endpoints and entry VMs without an address or with
// port 0. The generated configuration then is for a program that starts the
// endpoints and fills in their addresses, such as the demo; it cannot be
// published as it is.
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

// Parse decodes answers, fills in defaults and checks them. The file name
// labels findings. The error is a *finding.Error with all findings.
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
