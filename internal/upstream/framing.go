package upstream

// The values of Response.Framing.
const (
	// FramedByLength and FramedByChunks distinguish the body's end from a truncation.
	FramedByLength = "length"
	FramedByChunks = "chunks"
	// FramedByConnection is the framing of a body that ends with its connection.
	FramedByConnection = "connection"
)

// Framing returns how the end of the response's body is marked.
func (r *Response) Framing() string {
	switch {
	case !r.Framed:
		return FramedByConnection
	case len(r.head.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByLength
	}
}
