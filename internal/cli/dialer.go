package cli

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// peerTimeout limits the duration of one call to an entry VM.
const peerTimeout = 10 * time.Second

// peerFlags are the options with which commands authenticate to entry VMs.
type peerFlags struct {
	Certificate string `long:"certificate" value-name:"FILE" description:"certificate chain in PEM, for entry VMs that ask for one"`
	Key         string `long:"key" value-name:"FILE" description:"private key in PEM"`
	CA          string `long:"ca" value-name:"FILE" description:"certificates in PEM of the authorities that entry VMs are trusted by"`
}

// dialer returns a dialer with mutual authentication if the options name files,
// otherwise a dialer for entry VMs without certificates.
func (f *peerFlags) dialer() (peer.Dialer, error) {
	files := settings.PeerTLS{Certificate: f.Certificate, Key: f.Key, CA: f.CA}
	if files == (settings.PeerTLS{}) {
		return peer.NewDialer(peer.Options{Insecure: true, CallTimeout: peerTimeout}), nil
	}
	if files.Certificate == "" || files.Key == "" || files.CA == "" {
		return nil, &usageError{"--certificate, --key and --ca are given together or not at all"}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	certificates, err := peer.LoadClientCertificates(files, log)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return peer.NewDialer(peer.Options{Certificates: certificates, CallTimeout: peerTimeout}), nil
}
