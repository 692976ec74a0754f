package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the site blechklang-wb.
const (
	heartbeat = 1200 * time.Millisecond
	graceS    = 8
	grace     = graceS * time.Second
	configMs  = 2000
)

// record is the file record.txt.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
}

func newRecord(dir string) *record {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{out: bufio.NewWriter(file), started: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
	_ = r.out.Flush()
}

func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	os.Exit(2)
}

// site is a deployment: the store, engines and entry VMs.
type site struct {
	record  *record
	store   *store
	engines []*engine
	vms     []*vm
	temp    string

	mu   sync.Mutex
	runs map[string]int
}

func newSite(dir string) *site {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	return &site{record: newRecord(dir), store: startStore(), temp: temp, runs: make(map[string]int)}
}

func (s *site) ran(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *site) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *site) takeHandle(handle string) bool {
	s.mu.Lock()
	engines := s.engines
	s.mu.Unlock()
	for _, e := range engines {
		if e.takeHandle(handle) {
			return true
		}
	}
	return false
}

// end ends all processes of the site.
func (s *site) end() {
	for _, v := range s.vms {
		v.kill()
	}
	_ = os.RemoveAll(s.temp)
}

// configure writes a version of the configuration, as the operator does. The write is the acknowledgement.
func (s *site) configure(version int, routes, services string) {
	s.store.put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, routes, services))
	s.record.add("configuration %d acknowledged", version)
}

// engineService is the configuration of a service of model engines.
func engineService(name string) string {
	return `{"name":"` + name + `","healthPath":"/health","maxConns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":33860,` +
		`"kvTokenBytes":131072,"linkMbps":840000.0,"moves":true,"backups":true,"stride":12,"most":12,"kvTtlS":0.5,"reconfigS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}`
}

// plainService is the configuration of a plain service.
func plainService(name string) string {
	return `{"name":"` + name + `","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`
}

// vm is an entry VM.
type vm struct {
	site                      *site
	name, zone, ip            string
	callers, readiness, peers string
	settings                  string
	process                   *exec.Cmd
	ended                     chan struct{}
}

// addVMs adds entry VMs, each on a loopback address of its own, in the given zones.
func (s *site) addVMs(zones ...string) {
	var seeds []string
	for i, zone := range zones {
		v := &vm{site: s, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 20+i)}
		for _, address := range []*string{&v.callers, &v.readiness, &v.peers} {
			listener := listen(v.ip + ":0")
			*address = listener.Addr().String()
			defer func() { _ = listener.Close() }()
		}
		seeds = append(seeds, strconv.Quote(v.peers))
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		v.settings = filepath.Join(s.temp, v.name+".toml")
		text := fmt.Sprintf(`node = %q
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
seeds = [%s]
bootstrap = true
heartbeatMs = 1200
[listen]
front = %q
readyAddr = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = %d
slackMs = 200
configMs = %d
revertMs = 250
maxSkewMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
leaseMs = 3000
thawMs = 300
[provider]
address = %q
form = "log"
`, v.name, v.ip, v.zone, strings.Join(seeds[:min(3, len(seeds))], ","), v.callers, v.readiness, v.peers, graceS, configMs, s.store.address)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
	}
}

// start starts the process of a VM with the command of the deploy file.
func (v *vm) start() {
	log, err := os.OpenFile(filepath.Join(v.site.temp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command("target/ospreyshedd")
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "OSPREYSHED_BOOT=" + v.settings}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		cannotRun("%v", err)
	}
	ended := make(chan struct{})
	v.ended = ended
	go func(process *exec.Cmd) {
		_ = process.Wait()
		close(ended)
	}(v.process)
}

func (v *vm) signal(sig syscall.Signal) { _ = v.process.Process.Signal(sig) }

func (v *vm) kill() {
	if v.process != nil {
		v.signal(syscall.SIGKILL)
		<-v.ended
	}
}

func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// ready asks the readiness address as the platform does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (s *site) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, v := range s.vms {
		for !v.ready() {
			if time.Now().After(until) {
				cannotRun("%s does not become ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// caller sends requests on connections of its own and keeps the last connection.
type caller struct {
	client *http.Client
	mu     sync.Mutex
	open   net.Conn
}

func newCaller() *caller {
	c := &caller{}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
			c.mu.Lock()
			c.open = conn
			c.mu.Unlock()
			return conn, err
		},
	}}
	return c
}

// reset resets the connection that was opened last.
func (c *caller) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcp, ok := c.open.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// request is one client attempt.
type request struct {
	id, method, path string
	deadlineMs       int
	// tokens is X-Token-Count, empty for plain requests. resumes and last are set to take a stream up.
	tokens, resumes string
	last            int
}

func (s *site) newRequest(v *vm, r request) *http.Request {
	var body *strings.Reader
	if r.method == http.MethodPost {
		body = strings.NewReader("body of " + r.id)
	} else {
		body = strings.NewReader("")
	}
	out, err := http.NewRequest(r.method, "http://"+v.callers+r.path, body)
	if err != nil {
		cannotRun("%v", err)
	}
	out.GetBody = nil
	out.Host = "h.example"
	out.Header.Set("X-Request-Id", r.id)
	out.Header.Set("X-Deadline-Ms", strconv.Itoa(r.deadlineMs))
	if r.tokens != "" {
		out.Header.Set("X-Model", "m")
		out.Header.Set("X-Token-Count", r.tokens)
		out.Header.Set("X-Prompt-Prefix", "5c1e07a2:80,"+r.id+":20")
	}
	if r.resumes != "" {
		out.Header.Set("Resumes", r.resumes)
		out.Header.Set("Last-Event-Id", strconv.Itoa(r.last))
	}
	return out
}
