package questionnaire

import (
	"bytes"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

// MaxKeyBytes is the maximum length of a bearer key in bytes, including a line
// break at its end.
const MaxKeyBytes = 4096

var namespace = errorx.NewNamespace("questionnaire").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// BadKey is the type of the error for a text that cannot be a bearer key.
var BadKey = namespace.NewType("bad-key")

// Digest returns the SHA-256 digest of a bearer key in hexadecimal digits. A
// line break at the end does not belong to the key. Digest returns a BadKey
// error if the key is empty, too long or contains characters other than visible
// ASCII, which an HTTP header cannot carry.
func Digest(key []byte) (string, error) {
	if len(key) > MaxKeyBytes {
		return "", BadKey.New("the key is longer than %d bytes", MaxKeyBytes)
	}
	key = bytes.TrimSuffix(key, []byte("\n"))
	key = bytes.TrimSuffix(key, []byte("\r"))
	if len(key) == 0 {
		return "", BadKey.New("the key is empty")
	}
	for _, b := range key {
		if b <= ' ' || b > '~' {
			return "", BadKey.New("the key has a character other than visible ASCII")
		}
	}
	return team.DigestOf(string(key)).String(), nil
}
