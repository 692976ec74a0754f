package peer

import (
	"crypto/tls"
	"crypto/x509"
)

// serverTLS returns the configuration of a listener. Each handshake uses the
// current credentials.
func (c *Certificates) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := c.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{"h2", "http/1.1"},
				Certificates:           []tls.Certificate{current.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              current.authorities,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientTLS returns the configuration of a dialer. Peers are dialed by IP address,
// which certificates do not contain, so the standard verification is replaced by
// one of the chain alone.
func (c *Certificates) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.current().verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
		},
	}
}
