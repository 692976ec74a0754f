package cli

import (
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// peerTimeout bounds one call to an entry VM.
const peerTimeout = 10 * time.Second

// peerFlags are the options by which commands authenticate to entry VMs.
type peerFlags struct {
	Certificate string `long:"certificate" value-name:"FILE" description:"certificate chain in PEM, for entry VMs that ask for one"`
	Key         string `long:"key" value-name:"FILE" description:"private key in PEM"`
	CA          string `long:"ca" value-name:"FILE" description:"certificates in PEM of the authorities that entry VMs are trusted by"`
}

// dialer returns a dialer with mutual authentication if the options name files,
// else one for entry VMs without certificates.
func (f *peerFlags) dialer() (peer.Dialer, error) {
	files := settings.PeerTLS{Certificate: f.Certificate, Key: f.Key, CA: f.CA}
	if files == (settings.PeerTLS{}) {
		return &peerDialer{scheme: "http", client: &http.Client{Timeout: peerTimeout}}, nil
	}
	config, err := clientTLS(files)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	client := &http.Client{Timeout: peerTimeout, Transport: transport}
	return &peerDialer{scheme: "https", client: client}, nil
}

func clientTLS(files settings.PeerTLS) (*tls.Config, error) {
	if files.Certificate == "" || files.Key == "" || files.CA == "" {
		return nil, &usageError{"--certificate, --key and --ca are given together or not at all"}
	}
	certificate, err := files.Load()
	if err != nil {
		return nil, err
	}
	authorities, err := files.LoadCA()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
	}, nil
}

// peerDialer implements peer.Dialer for a command.
type peerDialer struct {
	scheme string
	client *http.Client
}

// HTTPClient implements peer.Dialer.
func (d *peerDialer) HTTPClient() connect.HTTPClient { return d.client }

// BaseURL implements peer.Dialer.
func (d *peerDialer) BaseURL(address string) string { return d.scheme + "://" + address }
