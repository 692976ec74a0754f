package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/configuration/peersync"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

var configurationCommand = command{
	name:  "configuration",
	short: "Publish and show configuration",
	long:  "Publishes configuration on the platform's log and shows what is in force.",
	children: []command{
		{
			name:  "publish",
			short: "Publish a file",
			long: "Publishes what a file changes. Answers \"accepted\" only of changes that were read back from " +
				"the log as the winners of their versions.",
			new: func(b base) flags.Commander { return &publishOptions{base: b} },
		},
		{
			name:  "show",
			short: "Show the configuration in the log",
			long:  "Shows versions and publishers, or with --json the documents in the form of a file to publish.",
			new:   func(b base) flags.Commander { return &showOptions{base: b} },
		},
		{
			name:  "history",
			short: "List the records in the log",
			long:  "Lists all records that the log still keeps and what became of each.",
			new:   func(b base) flags.Commander { return &historyOptions{base: b} },
		},
	},
}

// logOptions are the options of all commands that access the platform's log.
type logOptions struct {
	Log     string        `long:"log" value-name:"ADDRESS" required:"yes" description:"address of the platform's log, IP number and port"`
	VMs     []string      `long:"vm" value-name:"ADDRESS" description:"address of an entry VM for peers, IP number and port; repeatable"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"time limit of the command"`
}

func (o *logOptions) service() logservice.Service {
	return logservice.NewClient(o.Log, http.DefaultTransport)
}

type showOptions struct {
	base
	logOptions
	JSON bool `long:"json" description:"print the documents as JSON"`
}

// Execute implements flags.Commander.
func (o *showOptions) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.Timeout)
	defer cancel()
	fold, _, err := configuration.ReadAll(ctx, o.service())
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(o.streams.Out, configuration.BundleOf(fold.All()))
	}
	for _, current := range fold.All() {
		if err := o.printVersion(current); err != nil {
			return err
		}
	}
	return nil
}

func (o *showOptions) printVersion(current configuration.Current) error {
	state := ""
	if current.Record.Removed {
		state = " (removed)"
	}
	_, err := fmt.Fprintf(o.streams.Out, "%s version %d by %s%s\n",
		current.Record.Subject, current.Version, current.Record.Publisher, state)
	return err
}

type historyOptions struct {
	base
	logOptions
}

// Execute implements flags.Commander.
func (o *historyOptions) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.Timeout)
	defer cancel()
	_, entries, err := configuration.ReadAll(ctx, o.service())
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if _, err := fmt.Fprintln(o.streams.Out, entry); err != nil {
			return err
		}
	}
	return nil
}

type publishOptions struct {
	base
	logOptions
	peerFlags
	Wait      bool   `long:"wait" description:"wait until every VM given by --vm, or else every VM in the file, serves by the new versions"`
	Publisher string `long:"publisher" description:"name shown to others (default: user and host)"`
}

// pullTimeout limits the time for pulling the states of VMs before a publish.
const pullTimeout = 3 * time.Second

// errRefused means that a change was refused because of a conflicting publish.
var errRefused = errors.New("refused: others published since the version that the file is based on")

// Execute implements flags.Commander.
func (o *publishOptions) Execute(rest []string) error {
	if len(rest) != 1 {
		return &usageError{"one file is needed"}
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.Timeout)
	defer cancel()
	dialer, err := o.dialer()
	if err != nil {
		return err
	}
	bundle, err := readBundle(rest[0])
	if err != nil {
		return err
	}
	report, err := o.publish(ctx, bundle, dialer)
	if err != nil && len(report.Results) == 0 {
		return err
	}
	if err := errors.Join(err, o.print(report)); err != nil {
		return err
	}
	if !report.Accepted() {
		return errRefused
	}
	if !o.Wait {
		return nil
	}
	return o.await(ctx, dialer, o.targetAddresses(bundle), newPublishedVersions(report))
}

func readBundle(path string) (configuration.Bundle, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return configuration.Bundle{}, err
	}
	return configuration.ParseBundle(path, content)
}

func (o *publishOptions) publish(ctx context.Context, bundle configuration.Bundle, dialer peer.Dialer) (configuration.Report, error) {
	appender, err := logservice.NewAppender(o.service(), logservice.AppenderOptions{})
	if err != nil {
		return configuration.Report{}, err
	}
	defer appender.Close()
	publisher := configuration.NewPublisher(o.service(), appender, o.publisherName())
	publisher.Seed(o.pullAll(ctx, bundle, dialer))
	return publisher.Publish(ctx, bundle)
}

// pullAll returns the configuration records of the VMs that the command contacts.
// VMs that do not respond are skipped: the log alone is sufficient unless it has
// lost records.
func (o *publishOptions) pullAll(ctx context.Context, bundle configuration.Bundle, dialer peer.Dialer) []configuration.Record {
	if !o.Wait && len(o.VMs) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	addresses := o.targetAddresses(bundle)
	states := make([]peersync.Pulled, len(addresses))
	var pulls sync.WaitGroup
	for i, address := range addresses {
		pulls.Go(func() {
			// Records that were pulled before an error are valid too.
			states[i], _ = peersync.NewRemote(dialer, address).Pull(ctx)
		})
	}
	pulls.Wait()
	var records []configuration.Record
	for _, state := range states {
		records = append(records, state.Records...)
	}
	return records
}

func (o *publishOptions) publisherName() string {
	if o.Publisher != "" {
		return o.Publisher
	}
	name, host := "unknown", "unknown"
	if current, err := user.Current(); err == nil {
		name = current.Username
	}
	if hostname, err := os.Hostname(); err == nil {
		host = hostname
	}
	return name + "@" + host
}

func (o *publishOptions) print(report configuration.Report) error {
	for _, line := range reportLines(report) {
		if _, err := fmt.Fprintln(o.streams.Out, line); err != nil {
			return err
		}
	}
	return nil
}

// reportLines describes each result, with the differences of refused changes.
func reportLines(report configuration.Report) []string {
	if len(report.Results) == 0 {
		return []string{"nothing changes"}
	}
	var lines []string
	for _, result := range report.Results {
		if result.Accepted {
			lines = append(lines, fmt.Sprintf("accepted: %s version %d", result.Subject, result.Version))
			continue
		}
		lines = append(lines, fmt.Sprintf("refused: %s is at version %d by %s", result.Subject, result.Version, result.Winner))
		for _, difference := range result.Differences {
			lines = append(lines, "  "+difference.String())
		}
	}
	for _, conflict := range report.Conflicts {
		lines = append(lines, "conflict: "+conflict.String())
	}
	return lines
}
