// Package localsite runs a complete deployment in one process on loopback ports:
// the stand-ins for the platform and the endpoints, and the daemons of entry VMs,
// which communicate over real sockets. The demo, the load generator and end-to-end
// tests use it.
package localsite

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/daemon"
	"github.com/ospreyshed/ospreyshed/internal/loopback"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/questionnaire"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/standin"
)

var namespace = errorx.NewNamespace("localsite").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// NotReady means that an entry VM did not have a configuration in time.
	NotReady = namespace.NewType("not-ready")
	// Refused means that the configuration was not accepted.
	Refused = namespace.NewType("refused")
)

// Options describe a site.
type Options struct {
	// Bundle is the configuration; empty addresses are filled in.
	Bundle configuration.Bundle
	// Tune changes the options of the stand-ins before they start; nil keeps them.
	Tune func(*standin.Options)
	// Log receives the daemons' log lines; nil discards them.
	Log logrus.FieldLogger
	// Reserver returns the reserver that assigns engines to the requests of an
	// entry VM instead of the daemon's reservations; nil keeps the reservations.
	Reserver func(site *Site, vm configuration.VM) completion.Reserver
	// RewriteAddress returns the address at which clients reach a service instead
	// of the service's own address, for example that of a recording proxy; nil
	// keeps all addresses. The name is that of an endpoint, "<vm>/log" or
	// "<vm>/vm-list" for the platform services as one entry VM reaches them, or
	// "<vm>/peers" for an entry VM as its peers reach it.
	RewriteAddress func(name, address string) string
}

// Site is a running deployment.
type Site struct {
	// Platform holds the stand-ins.
	Platform *standin.Platform
	// VMs are the entry VMs by name.
	VMs map[string]*daemon.Daemon
	// Bundle is the configuration with all addresses filled in.
	Bundle configuration.Bundle

	// peerListen holds the addresses for peers on which entry VMs listen, by name.
	peerListen     map[string]string
	log            logrus.FieldLogger
	reserver       func(*Site, configuration.VM) completion.Reserver
	rewriteAddress func(name, address string) string
}

// BundleOf generates the configuration of a questionnaire, in which addresses may
// be missing.
func BundleOf(file string, data []byte) (configuration.Bundle, error) {
	answers, err := questionnaire.Parse(file, data, questionnaire.AllowUnassigned())
	if err != nil {
		return configuration.Bundle{}, err
	}
	return questionnaire.Generate(answers, questionnaire.AllowUnassigned())
}

// Start starts the stand-ins and one daemon for every entry VM, publishes the
// configuration and waits until all daemons serve by it.
func Start(ctx context.Context, options Options) (*Site, error) {
	s := &Site{VMs: make(map[string]*daemon.Daemon), peerListen: make(map[string]string), Bundle: options.Bundle, log: options.Log, reserver: options.Reserver, rewriteAddress: options.RewriteAddress}
	if s.rewriteAddress == nil {
		s.rewriteAddress = func(_, address string) string { return address }
	}
	if s.log == nil {
		s.log = discardLog()
	}
	if err := s.start(ctx, options.Tune); err != nil {
		return nil, errors.Join(err, s.Close(ctx))
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, tune func(*standin.Options)) error {
	platform, err := standin.StartBundle(&s.Bundle, tune)
	if err != nil {
		return err
	}
	s.Platform = platform
	for i := range s.Bundle.Fleet.Endpoints {
		e := &s.Bundle.Fleet.Endpoints[i]
		e.Address = s.rewriteAddress(e.Name, e.Address)
	}
	for i := range s.Bundle.Fleet.VMs {
		vm := &s.Bundle.Fleet.VMs[i]
		if err := s.StartVM(ctx, vm.Name); err != nil {
			return err
		}
		s.peerListen[vm.Name] = s.VMs[vm.Name].PeerAddr()
		vm.Address = s.rewriteAddress(vm.Name+"/peers", s.peerListen[vm.Name])
	}
	if err := s.Publish(ctx, s.Bundle); err != nil {
		return err
	}
	return s.AwaitReady(ctx)
}

// StartVM starts the daemon of an entry VM of the bundle on free ports. A VM that
// is started again keeps its address for peers.
func (s *Site) StartVM(ctx context.Context, name string) error {
	conf := s.settingsOf(name)
	d := daemon.New(conf, s.log.WithField("vm", name), s.daemonOptions(conf)...)
	if err := d.Start(ctx); err != nil {
		return err
	}
	s.VMs[name] = d
	return nil
}

func (s *Site) daemonOptions(conf *settings.Settings) []daemon.Option {
	if s.reserver == nil {
		return nil
	}
	vm := configuration.VM{Name: conf.VM, Zone: conf.Zone}
	return []daemon.Option{daemon.WithReserver(s.reserver(s, vm))}
}

func (s *Site) settingsOf(name string) *settings.Settings {
	conf := settings.Default()
	conf.VM = name
	conf.Callers.Listen = standin.AnyAddress
	// The daemon draws a free port and listens on it later; no other process takes one of this IP number in between.
	conf.Peers.Listen = net.JoinHostPort(loopback.ProcessIP(), "0")
	conf.Platform.Log = "http://" + s.rewriteAddress(name+"/log", s.Platform.Log.Addr())
	conf.Platform.VMList = "http://" + s.rewriteAddress(name+"/vm-list", s.Platform.VMList.Addr())
	for _, vm := range s.Bundle.Fleet.VMs {
		if vm.Name == name {
			conf.Zone = vm.Zone
		}
		if vm.Name == name && s.peerListen[name] != "" {
			conf.Peers.Listen = s.peerListen[name]
		}
		if vm.Name != name && vm.Address != "" {
			conf.Peers.Seeds = append(conf.Peers.Seeds, vm.Address)
		}
	}
	return conf
}

// Publish publishes a configuration and returns when it has been accepted.
func (s *Site) Publish(ctx context.Context, bundle configuration.Bundle) error {
	client := logservice.NewClient(s.Platform.Log.Addr(), nil)
	appender, err := logservice.NewAppender(client, logservice.AppenderOptions{})
	if err != nil {
		return err
	}
	defer appender.Close()
	report, err := configuration.NewPublisher(client, appender, "localsite").Publish(ctx, bundle)
	if err != nil {
		return err
	}
	if !report.Accepted() {
		return Refused.New("%+v", report)
	}
	return nil
}

const (
	readyPoll    = 10 * time.Millisecond
	readyTimeout = 30 * time.Second
)

// AwaitReady waits until all entry VMs serve by a configuration.
func (s *Site) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for name, vm := range s.VMs {
		for !vm.Ready() {
			select {
			case <-ctx.Done():
				return NotReady.New("%s", name)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// CallerAddrs returns the addresses for callers of the running entry VMs, in the
// order of the bundle.
func (s *Site) CallerAddrs() []string {
	var addresses []string
	for _, vm := range s.Bundle.Fleet.VMs {
		if d, running := s.VMs[vm.Name]; running {
			addresses = append(addresses, d.CallerAddr())
		}
	}
	return addresses
}

// StopVM gracefully shuts down an entry VM.
func (s *Site) StopVM(ctx context.Context, name string) error {
	d := s.VMs[name]
	delete(s.VMs, name)
	return d.Stop(ctx)
}

// Close shuts down all entry VMs and stand-ins.
func (s *Site) Close(ctx context.Context) error {
	var all error
	for name := range s.VMs {
		all = errors.Join(all, s.StopVM(ctx, name))
	}
	if s.Platform != nil {
		all = errors.Join(all, s.Platform.Close())
	}
	return all
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
