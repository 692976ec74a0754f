package peer

import (
	"context"
	"net/http"
)

type responderKey struct{}

// ContextWithResponder returns a context for a call whose dialer stores the identity
// of the responding process in target.
func ContextWithResponder(ctx context.Context, target *Identity) context.Context {
	return context.WithValue(ctx, responderKey{}, target)
}

// storeResponder stores the identity of the responding process in the target of the
// call's context. Without a certificate the target stays as it is.
func storeResponder(ctx context.Context, response *http.Response) {
	target, ok := ctx.Value(responderKey{}).(*Identity)
	if !ok || response.TLS == nil || len(response.TLS.PeerCertificates) == 0 {
		return
	}
	*target = Identity{Names: namesOf(response.TLS.PeerCertificates[0]), Authenticated: true}
}
