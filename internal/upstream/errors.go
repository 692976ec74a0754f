package upstream

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("upstream")
	// NotSent means that no byte of the request left this process.
	NotSent = errorx.NewType(namespace, "not_sent")
	// Withheld is a NotSent because Request.Permit did not allow to send it.
	Withheld = NotSent.NewSubtype("withheld")
	// InDoubt means that the endpoint may have received the request, and that no
	// complete response was received.
	InDoubt = errorx.NewType(namespace, "in_doubt")
	// GivenUp is an InDoubt because the context of the exchange has ended. It says nothing about
	// the endpoint.
	GivenUp = InDoubt.NewSubtype("given_up")
	// Foreign is an InDoubt because the response did not name the request.
	Foreign = InDoubt.NewSubtype("foreign")
	// errRequestUnread means that an endpoint closed its connection before it had the whole request.
	errRequestUnread = errorx.NewType(namespace, "request_unread")
)
