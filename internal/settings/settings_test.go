package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/fs"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const minimal = `{
  // two entry VMs on one machine
  "vm": "vm-a1",
  "zone": "zone-a",
  "callers": {"listen": "127.0.0.1:8080"},
  "peers": {"listen": "127.0.0.1:7400"},
  "platform": {"log": "http://127.0.0.1:9000", "vm_list": "http://[::1]:9000"},
}`

func TestMinimalSettingsGetDefaults(t *testing.T) {
	file := fs.NewFile(t, "settings", fs.WithContent(minimal))
	got, err := Load(file.Path())
	assert.NilError(t, err)
	assert.Equal(t, got.Peers.Advertise, "127.0.0.1:7400")
	assert.Equal(t, got.LogLevel, LogInfo)
	assert.Equal(t, got.Limits, Limits{
		HeaderBytes:       64 << 10,
		BodyBytes:         8 << 20,
		Connections:       4096,
		ReadHeaderTimeout: configuration.Duration(5 * time.Second),
		ReadTimeout:       configuration.Duration(30 * time.Second),
		WriteTimeout:      configuration.Duration(10 * time.Second),
		IdleTimeout:       configuration.Duration(2 * time.Minute),
	})
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	_, err := Parse("s.json", []byte(`{
  "vm": "vm.a1",
  "callers": {"listen": "localhost:80", "tls": {"certificate": "x"}},
  "peers": {
    "listen": "0.0.0.0:7400",
    "seeds": ["10.0.0.1:0", "10.0.0.2"]
  },
  "platform": {"log": "http://log:9000", "vm_list": "ftp://10.0.0.1"},
  "log_level": "loud",
  "limits": {"body_bytes": 0,
    "read_timeout": "1s"}
}`))
	assert.Error(t, err, strings.Join([]string{
		`s.json:1: zone: required`,
		`s.json:2: vm: "vm.a1" is no name: use lower-case letters, digits and "-", at most 63 characters`,
		`s.json:3: callers.listen: "localhost:80" is no IP number and port such as 10.0.0.5:7400`,
		`s.json:3: callers.tls.key: required`,
		`s.json:4: peers.advertise: peers cannot reach 0.0.0.0:7400; give the address of this VM`,
		`s.json:4: peers.tls: required because 0.0.0.0 is no loopback address; insecure_peers allows peers without certificates`,
		`s.json:6: peers.seeds[0]: the port must not be 0`,
		`s.json:6: peers.seeds[1]: "10.0.0.2" is no IP number and port such as 10.0.0.5:7400`,
		`s.json:8: platform.log: "http://log:9000" is no base URL with an IP number, such as http://10.0.0.2:9000`,
		`s.json:8: platform.vm_list: "ftp://10.0.0.1" is no base URL with an IP number, such as http://10.0.0.2:9000`,
		`s.json:9: log_level: "loud" is no log level; allowed are ["debug" "info" "warning" "error"]`,
		`s.json:10: limits.body_bytes: must be above 0, is 0`,
		`s.json:10: limits.read_header_timeout: must not exceed read_timeout, which is 1s`,
	}, "\n"))
}

func TestPeersWithoutTLSMustBeAllowed(t *testing.T) {
	template := strings.Replace(minimal, `{"listen": "127.0.0.1:7400"}`, `{"listen": "10.0.0.1:7400"%s}`, 1)
	_, err := Parse("s.json", fmt.Appendf(nil, template, ""))
	assert.ErrorContains(t, err, "peers.tls: required")
	_, err = Parse("s.json", fmt.Appendf(nil, template, `, "insecure_peers": true`))
	assert.NilError(t, err)
}

// TestFindings changes one value of minimal at a time.
func TestFindings(t *testing.T) {
	for _, test := range []struct{ name, from, to, want string }{
		{"missing VM name", `"vm": "vm-a1",`, ``, `vm: required`},
		{"advertised port 0 with a fixed listen port", `"127.0.0.1:7400"`, `"127.0.0.1:7400", "advertise": "127.0.0.1:0"`, `port 0 is only allowed if`},
		{"missing listen address", `{"listen": "127.0.0.1:8080"}`, `{}`, `callers.listen: required`},
		{"missing log URL", `"log": "http://127.0.0.1:9000", `, ``, `platform.log: required`},
		{"URL with a user", `http://127.0.0.1:9000`, `http://user@127.0.0.1:9000`, `is no base URL`},
		{"URL with port 0", `http://127.0.0.1:9000`, `http://127.0.0.1:0`, `is no base URL`},
		{"timeout of 0", `"zone": "zone-a",`, `"zone": "zone-a", "limits": {"idle_timeout": "0s"},`, `limits.idle_timeout: must be above 0`},
		{"certificates and insecure peers", `"127.0.0.1:7400"`, `"127.0.0.1:7400", "insecure_peers": true, "tls": {}`,
			`contradicts peers.tls`},
		{"certificates without file names", `"127.0.0.1:7400"`, `"127.0.0.1:7400", "tls": {}`, `peers.tls.ca: required`},
		{"certificate files that do not exist", `"127.0.0.1:8080"`, `"127.0.0.1:8080", "tls": {"certificate": "absent", "key": "absent"}`, `callers.tls: open absent`},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(minimal, test.from, test.to, 1)
			assert.Assert(t, changed != minimal)
			_, err := Parse("s.json", []byte(changed))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestFreePortsAreAllowedForListeners(t *testing.T) {
	portsZero := strings.NewReplacer(":8080", ":0", ":7400", ":0").Replace(minimal)
	got, err := Parse("s.json", []byte(portsZero))
	assert.NilError(t, err)
	assert.Equal(t, got.Peers.Advertise, "127.0.0.1:0")
}

func TestCertificateFilesAreRead(t *testing.T) {
	dir := writeCertificate(t)
	input := func(ca string) []byte {
		tls := fmt.Sprintf(`{"certificate": %q, "key": %q, "ca": %q}`,
			filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, ca))
		return []byte(strings.Replace(minimal, `"127.0.0.1:7400"`, `"10.0.0.1:7400", "tls": `+tls, 1))
	}
	got, err := Parse("s.json", input("cert.pem"))
	assert.NilError(t, err)
	_, err = got.Peers.TLS.Load()
	assert.NilError(t, err)
	_, err = Parse("s.json", input("key.pem"))
	assert.ErrorContains(t, err, "peers.tls.ca")
	_, err = Parse("s.json", input("absent.pem"))
	assert.ErrorContains(t, err, "no such file")
}

func writeCertificate(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", cert)
	writePEM(t, filepath.Join(dir, "key.pem"), "PRIVATE KEY", private)
	return dir
}

func writePEM(t *testing.T, file, kind string, data []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	assert.NilError(t, os.WriteFile(file, text, 0o600))
}
