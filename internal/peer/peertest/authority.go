// Package peertest issues entry VM certificates for tests.
package peertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// validity is how long a certificate is valid from the time it is issued; it is
// also valid for that time before.
const validity = time.Hour

// Authority is a certificate authority.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-validity),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a := &Authority{key: newKey(t), serial: 1}
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

// Files issues a certificate with a common name and writes the files for it to
// a new directory.
func (a *Authority) Files(t testing.TB, name string) settings.PeerTLS {
	t.Helper()
	dir := t.TempDir()
	files := settings.PeerTLS{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
	a.Write(t, files, name)
	return files
}

// Write issues a certificate and writes it over existing files.
func (a *Authority) Write(t testing.TB, files settings.PeerTLS, name string) {
	t.Helper()
	key := newKey(t)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", private)
	writePEM(t, files.CA, "CERTIFICATE", a.certificate.Raw)
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func writePEM(t testing.TB, file, kind string, data []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	assert.NilError(t, os.WriteFile(file, text, 0o600))
}
