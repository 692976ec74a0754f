package peer

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// reloadPeriod is the minimum time between two checks of the certificate files.
const reloadPeriod = 2 * time.Second

// Certificates holds this VM's certificate and the certificate authorities by
// which peers are verified. The files are checked for changes while connections
// are in use, so that new ones take effect without a restart. If the new files are
// not usable, the previous credentials stay in use. It is safe for concurrent use.
type Certificates struct {
	// vm is a name that the certificate must contain; empty for any.
	vm    string
	files settings.PeerTLS
	log   logrus.FieldLogger

	active atomic.Pointer[credentials]
	// lastCheck is the time of the last check of the files in Unix nanoseconds.
	lastCheck atomic.Int64
	counters  certificateCounters

	mu sync.Mutex
	// filesDigest is the digest of the files at the last check.
	filesDigest uint64
}

type certificateCounters struct {
	Reloaded, ReloadFailed atomic.Int64
}

// credentials is the content of one set of certificate files.
type credentials struct {
	// generation numbers the sets that were in use, from 1.
	generation  uint64
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadCertificates reads the certificate files of a VM. The error is
// BadCertificate if the name is empty, or if the files are not usable or do not
// name the VM.
func LoadCertificates(vm string, files settings.PeerTLS, log logrus.FieldLogger) (*Certificates, error) {
	if vm == "" {
		return nil, BadCertificate.New("the VM name is empty")
	}
	return loadCertificates(vm, files, log)
}

// LoadClientCertificates reads the certificate files of a client that is not a VM,
// such as a command-line tool. The certificate may contain any name.
func LoadClientCertificates(files settings.PeerTLS, log logrus.FieldLogger) (*Certificates, error) {
	return loadCertificates("", files, log)
}

func loadCertificates(vm string, files settings.PeerTLS, log logrus.FieldLogger) (*Certificates, error) {
	c := &Certificates{vm: vm, files: files, log: log, filesDigest: digestOf(files)}
	loaded, err := c.load(1)
	if err != nil {
		return nil, err
	}
	c.active.Store(loaded)
	c.lastCheck.Store(time.Now().UnixNano())
	return c, nil
}

// Vars returns the counters of certificate reloads.
func (c *Certificates) Vars() *expvar.Map { return metrics.Fields(&c.counters) }

// current returns the current credentials. It first checks the files for changes if
// a check is due.
func (c *Certificates) current() *credentials {
	now := time.Now().UnixNano()
	last := c.lastCheck.Load()
	due := now-last >= int64(reloadPeriod)
	if due && c.lastCheck.CompareAndSwap(last, now) {
		c.reload()
	}
	return c.active.Load()
}

// reload loads the files if they have changed since the last check.
func (c *Certificates) reload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := digestOf(c.files)
	if digest == c.filesDigest {
		return
	}
	c.filesDigest = digest
	loaded, err := c.load(c.active.Load().generation + 1)
	if err != nil {
		c.counters.ReloadFailed.Add(1)
		c.log.WithError(err).Warning("new peer certificate files are not usable; the former ones stay in force")
		return
	}
	c.active.Store(loaded)
	c.counters.Reloaded.Add(1)
	c.log.Info("peer certificates reloaded")
}

func (c *Certificates) load(generation uint64) (*credentials, error) {
	certificate, err := c.files.Load()
	if err != nil {
		return nil, BadCertificate.Wrap(err, "certificate and key")
	}
	authorities, err := c.files.LoadCA()
	if err != nil {
		return nil, BadCertificate.Wrap(err, "authorities")
	}
	if c.vm != "" && !slices.Contains(namesOf(certificate.Leaf), c.vm) {
		return nil, BadCertificate.New("%s does not name the VM %q", c.files.Certificate, c.vm)
	}
	return &credentials{generation: generation, certificate: certificate, authorities: authorities}, nil
}

// verify checks that a peer's certificate chain is valid for a use.
func (c *credentials) verify(chain []*x509.Certificate, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return Untrusted.New("the peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         c.authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{use},
	})
	if err != nil {
		return Untrusted.Wrap(err, "certificate of %q", namesOf(chain[0]))
	}
	return nil
}

// namesOf returns the common name and the DNS names of a certificate.
func namesOf(certificate *x509.Certificate) []string {
	names := slices.Clone(certificate.DNSNames)
	if name := certificate.Subject.CommonName; name != "" && !slices.Contains(names, name) {
		names = append([]string{name}, names...)
	}
	return names
}

// digestOf returns a digest of the content of the files. For a file that cannot be
// read, the error text is used instead.
func digestOf(files settings.PeerTLS) uint64 {
	hash := xxhash.New()
	for _, name := range []string{files.Certificate, files.Key, files.CA} {
		data, err := os.ReadFile(name)
		if err != nil {
			data = []byte(err.Error())
		}
		_, _ = hash.Write(data)
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
