// Package api holds the protocols between the system's own processes. The
// generated code is committed; "go generate ./api" makes it anew with protoc,
// protoc-gen-go and protoc-gen-connect-go in PATH.
package api

//go:generate protoc -I .. --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed ../api/timeline/v1/timeline.proto
//go:generate protoc -I .. --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed ../api/membership/v1/membership.proto
//go:generate protoc -I .. --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed ../api/feed/v1/feed.proto
//go:generate protoc -I . --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed reservation/v1/reservation.proto
//go:generate protoc -I .. --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed ../api/origin/v1/origin.proto
//go:generate protoc -I .. --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed ../api/quarantine/v1/quarantine.proto
//go:generate protoc -I .. --go_out=.. --go_opt=module=github.com/ospreyshed/ospreyshed --connect-go_out=.. --connect-go_opt=module=github.com/ospreyshed/ospreyshed ../api/quota/v1/quota.proto
