package callerconn

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("callerconn")
	// NoSocket means that a connection cannot be tracked because it is not that of a socket.
	NoSocket = errorx.NewType(namespace, "no_socket")
)
