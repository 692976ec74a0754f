package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/questionnaire"
)

var questionnaireCommand = command{
	name:  "questionnaire",
	short: "Check answers and generate the configuration",
	long:  "Checks the answers of a deployment's teams and generates the configuration from them.",
	children: []command{
		{
			name:  "check",
			short: "Report all findings of a questionnaire",
			long: "Reports all findings of a questionnaire with line and path. " +
				"Exits with 0 if there are none and with 2 otherwise.",
			new: func(b base) flags.Commander { return &questionnaireCheck{base: b} },
		},
		{
			name:  "generate",
			short: "Generate the configuration",
			long:  "Generates the whole configuration that the answers yield, as JSON.",
			new:   func(b base) flags.Commander { return &questionnaireGenerate{base: b} },
		},
		{
			name:  "digest",
			short: "Print the digest of a bearer key",
			long: "Reads a bearer key from standard input, without a line break at its end, " +
				"and prints the digest that the questionnaire's key_digests take.",
			new: func(b base) flags.Commander { return &questionnaireDigest{base: b} },
		},
	},
}

// questionnaireInput holds the options of commands that read a questionnaire.
type questionnaireInput struct {
	AllowUnassigned bool `long:"allow-unassigned" description:"accept entry VMs and endpoints without address or port, for a configuration whose addresses a program fills in"`
	Positional      struct {
		File string `positional-arg-name:"FILE" description:"questionnaire in JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

func (i *questionnaireInput) options() []questionnaire.Option {
	if i.AllowUnassigned {
		return []questionnaire.Option{questionnaire.AllowUnassigned()}
	}
	return nil
}

func (i *questionnaireInput) read() (*questionnaire.Questionnaire, error) {
	data, err := os.ReadFile(i.Positional.File)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return questionnaire.Parse(i.Positional.File, data, i.options()...)
}

type questionnaireCheck struct {
	base
	questionnaireInput
	JSON bool `long:"json" description:"print the findings as JSON"`
}

// findingsOutput is what "questionnaire check --json" prints.
type findingsOutput struct {
	Findings []finding.Finding `json:"findings"`
}

// Execute implements flags.Commander.
func (c *questionnaireCheck) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	_, err := c.read()
	if c.JSON {
		return c.printJSON(err)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.streams.Out, "%s: no findings\n", c.Positional.File)
	return err
}

// printJSON prints the findings of an error and returns the error.
func (c *questionnaireCheck) printJSON(err error) error {
	output := findingsOutput{Findings: []finding.Finding{}}
	var findings *finding.Error
	if errors.As(err, &findings) {
		output.Findings = findings.Findings
	} else if err != nil {
		return err
	}
	return errors.Join(printJSON(c.streams.Out, output), err)
}

type questionnaireGenerate struct {
	base
	questionnaireInput
	Out string `long:"out" value-name:"FILE" description:"write to a file instead of standard output"`
}

// Execute implements flags.Commander.
func (c *questionnaireGenerate) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	answers, err := c.read()
	if err != nil {
		return err
	}
	bundle, err := questionnaire.Generate(answers, c.options()...)
	if err != nil {
		return err
	}
	if c.Out == "" {
		return printJSON(c.streams.Out, bundle)
	}
	return writeJSON(c.Out, bundle)
}

type questionnaireDigest struct {
	base
}

// Execute implements flags.Commander.
func (c *questionnaireDigest) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	key, err := io.ReadAll(io.LimitReader(c.streams.In, questionnaire.MaxKeyBytes+1))
	if err != nil {
		return err
	}
	digest, err := questionnaire.Digest(key)
	if err != nil {
		return &usageError{err.Error()}
	}
	_, err = fmt.Fprintln(c.streams.Out, digest)
	return err
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeJSON writes a value as indented JSON to a file.
func writeJSON(file string, value any) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(printJSON(f, value), f.Close())
}
