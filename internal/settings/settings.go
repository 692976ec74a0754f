// Package settings holds the daemon's settings: the name and zone of its VM, the
// addresses on which it listens, the addresses of the platform and of its peers,
// and limits.
//
// Settings apply to one process. What all entry VMs share is in the configuration
// (package configuration), which is generated from the questionnaire.
package settings

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Settings are the settings of one daemon.
type Settings struct {
	// VM is the name of this entry VM as listed in the configuration: lower-case
	// letters, digits and "-", at most 63 characters. Required.
	VM string `json:"vm"`
	// Zone is the availability zone of this entry VM. Required.
	Zone string `json:"zone"`
	// Callers is the listener for callers.
	Callers Callers `json:"callers"`
	// Peers is the listener for other entry VMs.
	Peers Peers `json:"peers"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// LogLevel is the lowest severity that is logged: "debug", "info",
	// "warning" or "error".
	LogLevel LogLevel `json:"log_level" default:"info"`
	// Limits bound the resources that one caller, and all callers together, can
	// use.
	Limits Limits `json:"limits"`
}

// Callers is the listener for callers.
type Callers struct {
	// Listen is the IP number and port for callers; port 0 selects a free port.
	// Required.
	Listen string `json:"listen"`
	// TLS names the files of the certificate for callers; without it callers use
	// plain HTTP, for example behind a balancer that terminates TLS.
	TLS *Certificate `json:"tls,omitempty"`
}

// Peers is the listener for other entry VMs and the connections to them.
type Peers struct {
	// Listen is the IP number and port for peers; port 0 selects a free port.
	// Required.
	Listen string `json:"listen"`
	// Advertise is the IP number and port at which peers reach this VM. The
	// default is the value of listen. Required if listen is an unspecified
	// address such as 0.0.0.0. Port 0 stands for the port that was selected for
	// port 0 of listen.
	Advertise string `json:"advertise,omitempty"`
	// Seeds are the addresses, IP number and port, of the peers that are
	// contacted first. They may include this VM. Further peers are learned from
	// the configuration.
	Seeds []string `json:"seeds,omitempty"`
	// TLS names the files of the certificate and the certificate authorities with
	// which peers authenticate each other. Required unless listen is a loopback
	// address or insecure_peers is set.
	TLS *PeerTLS `json:"tls,omitempty"`
	// Insecure allows peers without certificates on addresses other than
	// loopback. Anyone who can reach the port can then act as a peer.
	Insecure bool `json:"insecure_peers,omitempty"`
}

// Certificate names the files of a certificate.
type Certificate struct {
	// Certificate is the file with the certificate chain in PEM. Required.
	Certificate string `json:"certificate"`
	// Key is the file with the private key in PEM. Required.
	Key string `json:"key"`
}

// PeerTLS names the files for mutual authentication of peers.
type PeerTLS struct {
	// Certificate is the file with this VM's certificate chain in PEM. Required.
	Certificate string `json:"certificate"`
	// Key is the file with the private key in PEM. Required.
	Key string `json:"key"`
	// CA is the file with the certificates of the certificate authorities in PEM.
	// Required.
	CA string `json:"ca"`
}

// Platform holds the base URLs of the platform's services. Their hosts are IP
// numbers.
type Platform struct {
	// Log is the base URL of the log service, for example
	// "http://10.0.0.2:9000". Required.
	Log string `json:"log"`
	// VMList is the base URL of the list of VMs. Required.
	VMList string `json:"vm_list"`
}

// LogLevel is the lowest severity that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug   LogLevel = "debug"
	LogInfo    LogLevel = "info"
	LogWarning LogLevel = "warning"
	LogError   LogLevel = "error"
)

// Limits bound the resources that callers can use.
type Limits struct {
	// HeaderBytes is the maximum size of a request header in bytes.
	HeaderBytes int `json:"header_bytes" default:"65536"`
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64 `json:"body_bytes" default:"8388608"`
	// Connections is the maximum number of open connections from callers.
	Connections int `json:"connections" default:"4096"`
	// ReadHeaderTimeout bounds the time to receive the header of a request.
	ReadHeaderTimeout configuration.Duration `json:"read_header_timeout" default:"5s"`
	// ReadTimeout bounds the time to receive the header and body of a request.
	ReadTimeout configuration.Duration `json:"read_timeout" default:"30s"`
	// WriteTimeout bounds the time of each write to a caller that does not read.
	WriteTimeout configuration.Duration `json:"write_timeout" default:"10s"`
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout configuration.Duration `json:"idle_timeout" default:"2m"`
}
