package peer

import (
	"context"
	"net/http"
)

type responderKey struct{}

// ContextWithResponder returns a context for a call. The dialer stores into the
// target who answered.
func ContextWithResponder(ctx context.Context, target *Identity) context.Context {
	return context.WithValue(ctx, responderKey{}, target)
}

// storeResponder tells the caller of a call who answered.
func storeResponder(ctx context.Context, response *http.Response) {
	target, ok := ctx.Value(responderKey{}).(*Identity)
	if !ok || response.TLS == nil || len(response.TLS.PeerCertificates) == 0 {
		return
	}
	*target = Identity{Names: namesOf(response.TLS.PeerCertificates[0]), Authenticated: true}
}
