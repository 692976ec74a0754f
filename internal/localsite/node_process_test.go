package localsite

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/daemon"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// nodeSettingsVariable is the environment variable with the settings for a process
// of this test binary. If it is set, the process runs one entry VM instead of tests.
const nodeSettingsVariable = "OSPREYSHED_TEST_NODE_SETTINGS"

// nodeUsage is the resource usage of one entry VM's process since its start.
type nodeUsage struct {
	Ready          bool
	Callers, Peers string
	// CPUBefore and CPUAfter are the CPU times before and after reading the usage,
	// which includes a garbage collection. A measurement counts from CPUAfter of
	// one reading to CPUBefore of the next.
	CPUBefore, CPUAfter time.Duration
	// LiveHeap and Resident are in bytes.
	LiveHeap, Resident uint64
	// Counters holds the values of the counters by group and name.
	Counters map[string]map[string]any
}

// counter returns the value of a numeric counter, 0 if there is none.
func (u *nodeUsage) counter(group, name string) float64 {
	value, _ := u.Counters[group][name].(float64)
	return value
}

// peerBytes returns the number of bytes sent to and received from peers.
func (u *nodeUsage) peerBytes() float64 {
	var sum float64
	for _, group := range []string{"peer_server", "peer_dialer"} {
		sum += u.counter(group, "bytes_received") + u.counter(group, "bytes_sent")
	}
	return sum
}

// runNode runs an entry VM until standard input ends. It writes the usage to
// standard output for every line of the input.
func runNode(encoded string) error {
	conf := settings.Default()
	if err := json.Unmarshal([]byte(encoded), conf); err != nil {
		return err
	}
	d := daemon.New(conf, discardLog())
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		usage, err := readUsage(d)
		if err != nil {
			return err
		}
		if err := out.Encode(usage); err != nil {
			return err
		}
	}
	return nil
}

func readUsage(d *daemon.Daemon) (*nodeUsage, error) {
	usage := &nodeUsage{Ready: d.Ready(), Callers: d.CallerAddr(), Peers: d.PeerAddr(), Resident: residentBytes()}
	var err error
	if usage.CPUBefore, err = processorTime(); err != nil {
		return nil, err
	}
	if err := json.Unmarshal([]byte(d.Metrics().String()), &usage.Counters); err != nil {
		return nil, err
	}
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	usage.LiveHeap = stats.HeapAlloc
	usage.CPUAfter, err = processorTime()
	return usage, err
}

// processorTime returns the user and system CPU time of this process.
func processorTime() (time.Duration, error) {
	var times syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	return time.Duration(times.Utime.Nano() + times.Stime.Nano()), err
}

// residentBytes returns the size of this process's resident set, 0 if unknown.
func residentBytes() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize())
}

// nodeProcess is a process that runs one entry VM.
type nodeProcess struct {
	command *exec.Cmd
	input   *json.Encoder
	output  *json.Decoder
}

// startNode starts a process of this binary, which ends with the test.
func startNode(b *testing.B, conf *settings.Settings) *nodeProcess {
	b.Helper()
	encoded, err := json.Marshal(conf)
	assert.NilError(b, err)
	command := exec.CommandContext(context.Background(), os.Args[0])
	command.Env = append(os.Environ(), nodeSettingsVariable+"="+string(encoded))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	assert.NilError(b, err)
	output, err := command.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		assert.NilError(b, command.Wait())
	})
	return &nodeProcess{command: command, input: json.NewEncoder(input), output: json.NewDecoder(output)}
}

// usage requests the resource usage from the process.
func (n *nodeProcess) usage(b *testing.B) *nodeUsage {
	b.Helper()
	assert.NilError(b, n.input.Encode(struct{}{}))
	usage := &nodeUsage{}
	assert.NilError(b, n.output.Decode(usage))
	return usage
}
