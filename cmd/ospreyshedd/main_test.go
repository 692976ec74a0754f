package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/loopback"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/standin"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

// These tests run daemons as separate processes against stand-ins for engines,
// services and the platform, so that a daemon can be killed and paused.

const (
	// pollTimeout limits the wait for an expected state.
	pollTimeout = time.Minute
	// neverFinishes is a slowdown of engines with which only a cancel ends an attempt.
	neverFinishes = 1e6
)

// fleet is a set of daemon processes.
type fleet struct {
	platform  *standin.Platform
	processes map[string]*exec.Cmd
	callers   map[string]string
}

// buildDaemon compiles the daemon.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ospreyshedd")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// startFleet starts the stand-ins and two entry VMs of one availability zone.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	bundle, err := localsite.BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	vms := len(bundle.Fleet.VMs)
	addresses, err := loopback.FreeAddresses(t.Context(), loopback.ProcessIP(), 2*vms)
	assert.NilError(t, err)
	for i := range bundle.Fleet.VMs {
		bundle.Fleet.VMs[i].Zone = bundle.Fleet.Zones[0].Name
		bundle.Fleet.VMs[i].Address = addresses[i]
	}
	platform, err := standin.StartBundle(&bundle, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, platform.Close()) })
	f := &fleet{platform: platform, processes: map[string]*exec.Cmd{}, callers: map[string]string{}}
	binary := buildDaemon(t)
	for i, vm := range bundle.Fleet.VMs {
		f.callers[vm.Name] = addresses[vms+i]
		f.start(t, binary, &vm, bundle.Fleet.VMs[0].Address)
	}
	f.publish(t, bundle)
	for name := range f.callers {
		f.awaitReady(t, name)
	}
	return f
}

// start starts the daemon of one entry VM.
func (f *fleet) start(t *testing.T, binary string, vm *configuration.VM, seed string) {
	t.Helper()
	conf := map[string]any{
		"vm": vm.Name, "zone": vm.Zone,
		"callers":  map[string]any{"listen": f.callers[vm.Name]},
		"peers":    map[string]any{"listen": vm.Address, "seeds": []string{seed}},
		"platform": map[string]any{"log": "http://" + f.platform.Log.Addr(), "vm_list": "http://" + f.platform.VMList.Addr()},
	}
	encoded, err := json.Marshal(conf)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), vm.Name+".json")
	assert.NilError(t, os.WriteFile(file, encoded, 0o600))
	process := exec.CommandContext(context.Background(), binary, "--settings", file)
	assert.NilError(t, process.Start())
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	f.processes[vm.Name] = process
}

func (f *fleet) publish(t *testing.T, bundle configuration.Bundle) {
	t.Helper()
	appender, err := logservice.NewAppender(logservice.NewClient(f.platform.Log.Addr(), nil), logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	report, err := configuration.NewPublisher(logservice.NewClient(f.platform.Log.Addr(), nil), appender, "test").Publish(t.Context(), bundle)
	assert.NilError(t, err)
	assert.Assert(t, report.Accepted())
}

func (f *fleet) awaitReady(t *testing.T, vm string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.callers[vm]+"/readyz", nil)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return poll.Continue("%s: %v", vm, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s: status %d", vm, resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

func (f *fleet) client(vm string) *caller.Client {
	return caller.New(f.callers[vm], examples.QuickstartKey, &http.Client{})
}

// signal sends a signal to the process of entry-a.
func (f *fleet) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	assert.NilError(t, f.processes["entry-a"].Process.Signal(signal))
}

// awaitMemoryHeld waits until engines hold memory, or until they hold none.
func (f *fleet) awaitMemoryHeld(t *testing.T, held bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pieces := f.platform.Totals().PiecesHeld; (pieces > 0) != held {
			return poll.Continue("%d pieces are held", pieces)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

// summaryResult is what a caller got for a summary request.
type summaryResult struct {
	answer caller.Answer
	err    error
}

// startSummary sends a summary request through entry-a and waits until an engine
// holds memory for it. It fails if the request ends first.
func (f *fleet) startSummary(t *testing.T, prompt string) <-chan summaryResult {
	t.Helper()
	ended := make(chan summaryResult, 1)
	go func() {
		answer, err := f.client("entry-a").Do(t.Context(), summaryRequest(prompt))
		ended <- summaryResult{answer, err}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.platform.Totals().PiecesHeld > 0 {
			return poll.Success()
		}
		select {
		case got := <-ended:
			return poll.Error(fmt.Errorf("the request ended before an engine held memory: status %d, %s %s, %w",
				got.answer.Status, got.answer.Problem, got.answer.Detail, got.err))
		default:
			return poll.Continue("no engine holds memory")
		}
	}, poll.WithTimeout(pollTimeout))
	return ended
}

func summaryRequest(prompt string) caller.Request {
	return caller.Request{
		Method: http.MethodPost, Path: "/v1/completions", Stream: true,
		Body: fmt.Appendf(nil, `{"model":"drafter","prompt":%q,"stream":true}`, prompt),
	}
}

func (f *fleet) setEngineFaults(faults engine.Faults) {
	for _, e := range f.platform.Engines {
		e.SetFaults(faults)
	}
}

func TestEngineWorkOfAKilledVMIsCancelledByItsPeer(t *testing.T) {
	f := startFleet(t)
	// Engines ignore closed connections, so that only a cancel frees their memory.
	f.setEngineFaults(engine.Faults{IgnoreClose: true, Slow: neverFinishes})
	ended := f.startSummary(t, "orphan")
	f.signal(t, syscall.SIGKILL)
	killed := <-ended
	assert.Assert(t, killed.err != nil, "the caller of a killed VM got an answer")
	f.awaitMemoryHeld(t, false)
	f.setEngineFaults(engine.Faults{})
	answer, err := f.client("entry-b").Do(t.Context(), summaryRequest("after the kill"))
	assert.NilError(t, err)
	assert.Assert(t, answer.OK(), "%s", answer.Body)
}

func TestBookingOfAPausedOrKilledVMRunsAtMostOnce(t *testing.T) {
	f := startFleet(t)
	for _, service := range f.platform.Plain {
		service.SetFaults(plain.Faults{Slow: configuration.Duration(300 * time.Millisecond)})
	}
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	booking := caller.Request{Method: http.MethodPost, Path: "/bookings", Key: key.String(), Body: []byte(`{}`)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = f.client("entry-a").Do(context.Background(), booking)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.platform.Executions(key.String()) == 0 {
			return poll.Continue("the booking has not reached the service")
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(time.Millisecond))
	f.signal(t, syscall.SIGSTOP)
	paused, err := f.client("entry-b").Do(t.Context(), booking)
	assert.NilError(t, err)
	assert.Assert(t, !paused.OK(), "a repeat was answered while the first attempt is paused")
	f.signal(t, syscall.SIGKILL)
	<-ended
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		repeated, err := f.client("entry-b").Do(t.Context(), booking)
		assert.NilError(t, err)
		if repeated.Outcome != "unknown" || repeated.Problem != "/problems/key-unknown" {
			return poll.Continue("%s %s", repeated.Problem, repeated.Outcome)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	assert.Equal(t, f.platform.Executions(key.String()), 1)
}

func TestSignalEndsTheDaemonGracefully(t *testing.T) {
	f := startFleet(t)
	f.setEngineFaults(engine.Faults{Slow: 20})
	ended := f.startSummary(t, "finish this")
	f.signal(t, syscall.SIGTERM)
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.answer.Text, engine.NewAnswer("finish this", engine.DefaultOptions().OutputTokens, 200).Text())
	assert.NilError(t, f.processes["entry-a"].Wait(), "the exit code is not 0")
}

func TestBadSettingsAreReportedTogether(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(file, []byte("{\n\"zone\": 1,\n\"bogus\": 2\n}"), 0o600))
	output, err := exec.CommandContext(t.Context(), buildDaemon(t), "--settings", file).CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit), "%v", err)
	assert.Equal(t, exit.ExitCode(), exitUsage)
	for _, want := range []string{":2: zone:", ":3: bogus:", "vm: required"} {
		assert.Assert(t, strings.Contains(string(output), want), "%q is missing in\n%s", want, output)
	}
}

// A limit that is out of range, or asked for where it has no effect, must be refused and not ignored.
func TestLimitOnHedgesIsChecked(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		want      string
	}{
		{[]string{"--hedge-share", "1.5"}, "--hedge-share: 1.5 is not between 0 and 1"},
		{[]string{"--hedge-share", "NaN"}, "--hedge-share: NaN is not between 0 and 1"},
		{[]string{"--hedge-share", "-0.1"}, "--hedge-share: -0.1 is not between 0 and 1"},
		{[]string{"--hedge-share", "0.1", "--hedge-burst", "0"}, "--hedge-burst: 0 is not between 1 and 10000 calls"},
	} {
		var opts options
		_, err := flags.NewParser(&opts, flags.None).ParseArgs(c.arguments)
		assert.NilError(t, err)
		_, err = opts.hedging()
		assert.Error(t, err, c.want)
	}
	assert.Equal(t, run([]string{"--settings", "any", "--hedge-share", "0.1"}), exitUsage)
}
