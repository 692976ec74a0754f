package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var logLevels = []LogLevel{LogDebug, LogInfo, LogWarning, LogError}

// Validate checks the settings and adds all findings to the report.
func (s *Settings) Validate(r *finding.Report) {
	validateName(r, "vm", s.VM)
	validateName(r, "zone", s.Zone)
	s.Callers.validate(r)
	s.Peers.validate(r)
	validateURL(r, "platform.log", s.Platform.Log)
	validateURL(r, "platform.vm_list", s.Platform.VMList)
	if !slices.Contains(logLevels, s.LogLevel) {
		r.Addf("log_level", "%q is no log level; allowed are %q", s.LogLevel, logLevels)
	}
	s.Limits.validate(r)
}

func (c *Callers) validate(r *finding.Report) {
	parseAddress(r, "callers.listen", c.Listen)
	if c.TLS != nil {
		c.TLS.validate(r, "callers.tls")
	}
}

func (p *Peers) validate(r *finding.Report) {
	listen, ok := parseAddress(r, "peers.listen", p.Listen)
	if ok {
		p.validateAdvertise(r, listen)
		p.validateSecurity(r, listen.Addr())
	}
	for i, seed := range p.Seeds {
		path := jsonc.Element("peers.seeds", i)
		if address, ok := parseAddress(r, path, seed); ok && address.Port() == 0 {
			r.Addf(path, "the port must not be 0")
		}
	}
	if p.TLS != nil {
		p.TLS.validate(r, "peers.tls")
	}
}

func (p *Peers) validateAdvertise(r *finding.Report, listen netip.AddrPort) {
	const path = "peers.advertise"
	advertise, ok := parseAddress(r, path, p.Advertise)
	switch {
	case !ok:
	case advertise.Addr().IsUnspecified():
		r.Addf(path, "peers cannot reach %s; give the address of this VM", advertise)
	case advertise.Port() == 0 && listen.Port() != 0:
		r.Addf(path, "port 0 is only allowed if the port of peers.listen is 0")
	}
}

func (p *Peers) validateSecurity(r *finding.Report, listen netip.Addr) {
	if p.TLS != nil && p.Insecure {
		r.Addf("peers.insecure_peers", "contradicts peers.tls; leave one of them out")
	}
	if p.TLS == nil && !p.Insecure && !listen.IsLoopback() {
		r.Addf("peers.tls", "required because %s is no loopback address; insecure_peers allows peers without certificates", listen)
	}
}

func (l *Limits) validate(r *finding.Report) {
	validatePositive(r, "limits.header_bytes", int64(l.HeaderBytes))
	validatePositive(r, "limits.body_bytes", l.BodyBytes)
	validatePositive(r, "limits.connections", int64(l.Connections))
	validateDuration(r, "limits.read_header_timeout", l.ReadHeaderTimeout)
	validateDuration(r, "limits.read_timeout", l.ReadTimeout)
	validateDuration(r, "limits.write_timeout", l.WriteTimeout)
	validateDuration(r, "limits.idle_timeout", l.IdleTimeout)
	if l.ReadHeaderTimeout > l.ReadTimeout {
		r.Addf("limits.read_header_timeout", "must not exceed read_timeout, which is %s", l.ReadTimeout.D())
	}
}

func validateName(r *finding.Report, path, name string) {
	switch {
	case name == "":
		r.Addf(path, "required")
	case !namePattern.MatchString(name):
		r.Addf(path, "%q is no name: use lower-case letters, digits and \"-\", at most 63 characters", name)
	}
}

// parseAddress parses an IP number and port. It adds a finding if the text is
// not one.
func parseAddress(r *finding.Report, path, text string) (netip.AddrPort, bool) {
	if text == "" {
		r.Addf(path, "required")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.Addf(path, "%q is no IP number and port such as 10.0.0.5:7400", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

func validateURL(r *finding.Report, path, text string) {
	if text == "" {
		r.Addf(path, "required")
		return
	}
	if !isBaseURL(text) {
		r.Addf(path, "%q is no base URL with an IP number, such as http://10.0.0.2:9000", text)
	}
}

// isBaseURL reports whether the text is an HTTP or HTTPS URL with an IP number as
// host, optionally a port and a path, and nothing else.
func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return false
	}
	return u.Port() == "" || isPort(u.Port())
}

func isPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}

func validatePositive(r *finding.Report, path string, n int64) {
	if n <= 0 {
		r.Addf(path, "must be above 0, is %d", n)
	}
}

func validateDuration(r *finding.Report, path string, d configuration.Duration) {
	if d <= 0 {
		r.Addf(path, "must be above 0, is %s", d.D())
	}
}
