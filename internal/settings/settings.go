// Package settings holds the daemon's settings: who the process is, where it
// listens, where it finds the platform and its peers, and its limits.
//
// Settings belong to one process. What all entry VMs share is the configuration
// (package configuration), which the questionnaire yields.
package settings

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Settings are the settings of one daemon.
type Settings struct {
	// VM is the name of this entry VM as the configuration lists it: lower-case
	// letters, digits and "-", at most 63 characters. Required.
	VM string `json:"vm"`
	// Zone is the availability zone of this entry VM. Required.
	Zone string `json:"zone"`
	// Callers is the listener for callers.
	Callers Callers `json:"callers"`
	// Peers is the listener for other entry VMs.
	Peers Peers `json:"peers"`
	// Platform gives the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// LogLevel is the least severe level that is logged: "debug", "info",
	// "warning" or "error".
	LogLevel LogLevel `json:"log_level" default:"info"`
	// Limits bound what one caller, and all callers together, can occupy.
	Limits Limits `json:"limits"`
}

// Callers is the listener for callers.
type Callers struct {
	// Listen is the IP number and port for callers; port 0 takes a free port.
	// Required.
	Listen string `json:"listen"`
	// TLS holds the certificate for callers; without it callers use plain
	// HTTP, for example behind a balancer that ends TLS.
	TLS *Certificate `json:"tls,omitempty"`
}

// Peers is the listener for other entry VMs and the way to reach them.
type Peers struct {
	// Listen is the IP number and port for peers; port 0 takes a free port.
	// Required.
	Listen string `json:"listen"`
	// Advertise is the IP number and port that peers are told; the default is
	// that of listen. Required if that is an unspecified address such as
	// 0.0.0.0. Port 0 stands for the port that was taken.
	Advertise string `json:"advertise,omitempty"`
	// Seeds are the addresses, IP number and port, of peers that are asked
	// first. They may include this VM. More are learned from the configuration.
	Seeds []string `json:"seeds,omitempty"`
	// TLS holds the certificate and the authority that peers authenticate each
	// other by. Required unless listen is a loopback address or insecure_peers
	// is set.
	TLS *PeerTLS `json:"tls,omitempty"`
	// Insecure allows peers without certificates on other than loopback
	// addresses. Anyone who reaches the port can then act as a peer.
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
	// CA is the file with the authorities' certificates in PEM. Required.
	CA string `json:"ca"`
}

// Platform gives the base URLs of the platform's services, with hosts as IP
// numbers.
type Platform struct {
	// Log is the base URL of the log service, for example
	// "http://10.0.0.2:9000". Required.
	Log string `json:"log"`
	// VMList is the base URL of the list of VMs. Required.
	VMList string `json:"vm_list"`
}

// LogLevel is the least severe level that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug   LogLevel = "debug"
	LogInfo    LogLevel = "info"
	LogWarning LogLevel = "warning"
	LogError   LogLevel = "error"
)

// Limits bound what callers can occupy.
type Limits struct {
	// HeaderBytes is the largest request header in bytes.
	HeaderBytes int `json:"header_bytes" default:"65536"`
	// BodyBytes is the largest request body in bytes.
	BodyBytes int64 `json:"body_bytes" default:"8388608"`
	// Connections is the number of callers' connections at one time.
	Connections int `json:"connections" default:"4096"`
	// ReadHeaderTimeout bounds the time in which a caller sends its header.
	ReadHeaderTimeout configuration.Duration `json:"read_header_timeout" default:"5s"`
	// ReadTimeout bounds the time in which a caller sends header and body.
	ReadTimeout configuration.Duration `json:"read_timeout" default:"30s"`
	// WriteTimeout bounds each write to a caller that does not read.
	WriteTimeout configuration.Duration `json:"write_timeout" default:"10s"`
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout configuration.Duration `json:"idle_timeout" default:"2m"`
}
