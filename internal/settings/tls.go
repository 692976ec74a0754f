package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

var namespace = errorx.NewNamespace("settings").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// BadCertificate is the type of the error for a file without a certificate.
var BadCertificate = namespace.NewType("bad-certificate")

// Load reads the certificate and its key.
func (c *Certificate) Load() (tls.Certificate, error) {
	return tls.LoadX509KeyPair(c.Certificate, c.Key)
}

// Load reads the certificate and its key.
func (t *PeerTLS) Load() (tls.Certificate, error) {
	return tls.LoadX509KeyPair(t.Certificate, t.Key)
}

// LoadCA reads the certificates of the certificate authorities. It returns a
// BadCertificate error if the file contains none.
func (t *PeerTLS) LoadCA() (*x509.CertPool, error) {
	data, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, BadCertificate.New("%s holds no certificate in PEM", t.CA)
	}
	return pool, nil
}

func (c *Certificate) validate(r *finding.Report, path string) {
	complete := requireFile(r, path+".certificate", c.Certificate)
	complete = requireFile(r, path+".key", c.Key) && complete
	if !complete {
		return
	}
	if _, err := c.Load(); err != nil {
		r.Addf(path, "%s", err)
	}
}

func (t *PeerTLS) validate(r *finding.Report, path string) {
	pair := Certificate{Certificate: t.Certificate, Key: t.Key}
	pair.validate(r, path)
	if !requireFile(r, path+".ca", t.CA) {
		return
	}
	if _, err := t.LoadCA(); err != nil {
		r.Addf(path+".ca", "%s", err)
	}
}

func requireFile(r *finding.Report, path, file string) bool {
	if file == "" {
		r.Addf(path, "required")
	}
	return file != ""
}
