package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/peer/peertest"
)

// BenchmarkIdleConnections measures the memory of idle connections, both ends
// together, and the bytes sent to keep them open. One iteration takes 30 s; run it
// with -benchtime 1x.
func BenchmarkIdleConnections(b *testing.B) {
	const count, measured = 100, 30 * time.Second
	authority := peertest.NewAuthority(b)
	log, _ := logtest.NewNullLogger()
	certificates, err := LoadCertificates("vm-a1", authority.Files(b, "vm-a1"), log)
	assert.NilError(b, err)
	options := Options{Listen: loopback, Certificates: certificates}
	server, err := NewServer(options, namesHandler)
	assert.NilError(b, err)
	assert.NilError(b, server.Start())
	defer func() { _ = server.Shutdown(b.Context()) }()
	before := memory()
	var dialers []*HTTPDialer
	for range count {
		d := NewDialer(options)
		defer d.Close()
		_, _, err := get(d, server, "/names/", nil)
		assert.NilError(b, err, fmt.Sprint(len(dialers)))
		dialers = append(dialers, d)
	}
	perConnection := float64(memory()-before) / count
	b.ResetTimer()
	for range b.N {
		sent := server.traffic.BytesSent.Load() + server.traffic.BytesReceived.Load()
		time.Sleep(measured)
		sent = server.traffic.BytesSent.Load() + server.traffic.BytesReceived.Load() - sent
		b.ReportMetric(perConnection, "B/connection")
		b.ReportMetric(float64(sent)/count/measured.Seconds(), "B/s/connection")
	}
}

// memory returns the bytes of live heap objects and stacks.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
