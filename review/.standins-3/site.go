package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/loopback"
)

// daemonProgram is the program of the deploy file, relative to the repository's root.
const daemonProgram = "target/ospreyshedd"

// site is a small deployment: the store, and entry VMs as separate processes.
type site struct {
	folder       string
	record       *record
	store        *store
	storeAddress string
	vms          []*entryVM
	stopping     []func()
}

// entryVM is a process of the daemon.
type entryVM struct {
	name, front, ready, control string
	settings                    string
	process                     *exec.Cmd
	exited                      chan struct{}
}

// newSite starts the store and prepares the settings of entry VMs in the given zones.
func newSite(r *record, zones ...string) *site {
	folder, err := os.MkdirTemp("", "review-3-")
	check(err)
	s := &site{folder: folder, record: r, store: newStore()}
	s.storeAddress = s.serve(s.store)
	ip := loopback.ProcessIP()
	addresses, err := loopback.FreeAddresses(context.Background(), ip, 3*len(zones))
	check(err)
	var seeds []string
	for i, zone := range zones {
		vm := &entryVM{
			name: fmt.Sprintf("front-%s-%d", zone, i), front: addresses[3*i], ready: addresses[3*i+1], control: addresses[3*i+2],
			settings: filepath.Join(folder, fmt.Sprintf("settings-%d.toml", i)),
		}
		s.vms = append(s.vms, vm)
		seeds = append(seeds, fmt.Sprintf("%q", vm.control))
	}
	for i, zone := range zones {
		vm := s.vms[i]
		check(os.WriteFile(vm.settings, []byte(settingsText(vm, zone, ip, s.storeAddress, seeds)), 0o600))
	}
	return s
}

// settingsText is the platform's settings file with the figures of a small deployment.
func settingsText(vm *entryVM, zone, ip, store string, seeds []string) string {
	return fmt.Sprintf(`node = %q
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region"
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
[bounds]
reuseAfterS = 2
contactMs = 3000
drainMs = 2000
graceS = 8
slackMs = 200
configMs = 2000
revertMs = 250
maxSkewMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
requireFence = false
leaseMs = 3000
thawMs = 300
[provider]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
`, vm.name, ip, zone, strings.Join(seeds[:min(3, len(seeds))], ","), vm.front, vm.ready, vm.control, store)
}

// standInIP returns a loopback IP number for the stand-ins, on which no entry VM listens: the ports of those were found
// free before the stand-ins start.
func standInIP() string {
	bytes := netip.MustParseAddr(loopback.ProcessIP()).As4()
	bytes[1] += 64
	return netip.AddrFrom4(bytes).String()
}

// serve starts an HTTP server on a free loopback address and returns the address.
func (s *site) serve(handler http.Handler) string {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(standInIP(), "0"))
	check(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.stopping = append(s.stopping, func() { _ = server.Close() })
	return listener.Addr().String()
}

// start starts the process of an entry VM, as the deploy file does.
func (s *site) start(vm *entryVM) {
	log, err := os.OpenFile(filepath.Join(s.folder, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	vm.process = exec.CommandContext(context.Background(), daemonProgram)
	vm.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "OSPREYSHED_BOOT=" + vm.settings}
	vm.process.Stdout, vm.process.Stderr = log, log
	// The kernel ends the process with this one, even if this one is killed.
	vm.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(vm.process.Start())
	vm.exited = make(chan struct{})
	go func() {
		_ = vm.process.Wait()
		_ = log.Close()
		close(vm.exited)
	}()
	s.record.line("started %s", vm.name)
}

// startAll starts all entry VMs and waits until they are ready.
func (s *site) startAll() {
	for _, vm := range s.vms {
		s.start(vm)
	}
	for _, vm := range s.vms {
		vm.awaitReady()
	}
}

// awaitReady waits for the first 200 at the readiness address.
func (vm *entryVM) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for {
		response, err := http.Get("http://" + vm.ready + "/-/readiness") //nolint:noctx // Bounded by the loop.
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(until) {
			unable("%s does not become ready", vm.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// signal sends a signal to an entry VM's process.
func (vm *entryVM) signal(sig syscall.Signal) { check(vm.process.Process.Signal(sig)) }

// close ends all processes and removes the folder.
func (s *site) close() {
	var ended sync.WaitGroup
	for _, vm := range s.vms {
		if vm.process != nil {
			ended.Go(func() {
				_ = vm.process.Process.Kill()
				<-vm.exited
			})
		}
	}
	ended.Wait()
	for _, stop := range s.stopping {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}
