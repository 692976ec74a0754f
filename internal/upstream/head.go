package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// maxHeadBytes and maxHeadLines limit the heads of a response, interim ones included. Each line
	// takes several times its length in memory, and all exchanges of a VM may be with faulty endpoints.
	maxHeadBytes = 16 << 10
	maxHeadLines = 256
	// maxInterimResponses is the number of interim responses before the final one.
	maxInterimResponses = 32
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

var (
	// errHeadTooLong means that an endpoint sent more of a head than is read.
	errHeadTooLong = errors.New("the head of the response is too long")
	// errInterim means that an endpoint sent interim responses without a final one.
	errInterim = errors.New("too many interim responses")
	// errStatusLine means that an endpoint sent a status line that is not valid in HTTP/1.
	errStatusLine = errors.New("malformed status line")
	// errName means that an endpoint sent a field whose name has a space.
	errName = errors.New("a field name has a space")
	// errFolded means that an endpoint sent a header line that continues the one before it.
	errFolded = errors.New("a header line begins with a space or a tab")
	// errSwitched means that an endpoint switches to another protocol, which no request asks for.
	errSwitched = errors.New("status 101 without a request for another protocol")
)

// headReader limits what is read while a head is due. Bytes that follow the head do not count.
type headReader struct {
	source io.Reader
	// due is set until the end of the head has been read, bytes and lines are what is left of it.
	due          bool
	bytes, lines int
	// empty is set while the current line has no characters, folded once a line has continued the one before it.
	empty, folded bool
}

// expect begins the heads of a response.
func (r *headReader) expect() {
	r.bytes, r.lines, r.folded = maxHeadBytes, maxHeadLines, false
	r.next(nil)
}

// next begins the next head of the same response, of which a part has been read with the head before it.
func (r *headReader) next(read []byte) {
	r.due, r.empty = true, false
	r.count(read)
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.due {
		return r.source.Read(p)
	}
	if r.bytes <= 0 || r.lines <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.bytes)])
	r.count(p[:n])
	return n, err
}

// count counts the bytes and lines up to the end of the head.
func (r *headReader) count(read []byte) {
	for _, b := range read {
		r.bytes--
		switch b {
		case '\r':
		case '\n':
			r.lines--
			if r.empty {
				r.due = false
				return
			}
			r.empty = true
		case ' ', '\t':
			r.folded = r.folded || r.empty
			r.empty = false
		default:
			r.empty = false
		}
	}
}

// readHead reads the final response's head and skips interim ones.
func (k *conn) readHead(method string) (*http.Response, error) {
	k.heads.expect()
	for range maxInterimResponses + 1 {
		head, err := k.readOneHead(method)
		if err != nil {
			return nil, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if head.StatusCode >= http.StatusOK {
			k.heads.due = false
			return head, nil
		}
		following, err := k.reader.Peek(k.reader.Buffered())
		if err != nil {
			return nil, err
		}
		k.heads.next(following)
	}
	return nil, errInterim
}

// readOneHead reads the head of the final response or of an interim one.
func (k *conn) readOneHead(method string) (*http.Response, error) {
	head, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	// net/http appends such a line to the one before it. RFC 9112, section 5.2 permits to refuse it.
	if k.heads.folded {
		return nil, errFolded
	}
	return head, CheckHead(head)
}

// CheckHead returns an error if a head that net/http has read is not valid in HTTP/1. It does not find header lines
// that continue the line before them.
func CheckHead(head *http.Response) error {
	if err := checkStatusLine(head); err != nil {
		return err
	}
	return checkNames(head.Header)
}

// checkStatusLine returns an error if a status line is not valid in HTTP/1. net/http reads each number of three characters as
// a status and permits all versions and reasons.
func checkStatusLine(head *http.Response) error {
	if head.ProtoMajor != 1 || head.StatusCode < http.StatusContinue || head.StatusCode > maxStatus || strings.ContainsFunc(head.Status, isControl) {
		return fmt.Errorf("%w: %q", errStatusLine, head.Proto+" "+head.Status)
	}
	return nil
}

// checkNames returns an error if the name of a field has a space, as in "Content-Length : 2". Such a line is not
// valid (RFC 9112, section 5.1), and net/http does not read it as the field that it seems to be. It refuses all other
// names that are not valid.
func checkNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: %q", errName, name)
		}
	}
	return nil
}

// isControl reports whether a character is not permitted in a line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
