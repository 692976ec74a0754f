package origin

import "time"

const (
	// Lifetime is how long a record lasts after its stream has ended incomplete.
	// Callers give up after 14 s.
	Lifetime = time.Minute
	// maxStreamBytes, maxServiceBytes and maxBuildBytes bound the parts of a record.
	maxStreamBytes, maxServiceBytes, maxBuildBytes = 128, 128, 128
)

// Origin says which build began a stream.
type Origin struct {
	// Stream is the caller's id of the request that brought the stream's first event.
	Stream string
	// Service is the name of the service, Build the version of the software of the
	// engine that serves the stream.
	Service, Build string
	// Revision increases with each change of the build before the first event.
	Revision uint64
}

// valid reports whether the parts of the record are within their bounds.
func (o *Origin) valid() bool {
	return o.Stream != "" && len(o.Stream) <= maxStreamBytes && len(o.Service) <= maxServiceBytes && len(o.Build) <= maxBuildBytes
}

// Copy is a record as VMs send it to each other.
type Copy struct {
	Origin
	// Age is the part of Lifetime that has passed.
	Age time.Duration
}
