package gateway

import "unicode/utf8"

// appendJSONString appends text as a JSON string without allocating. Invalid
// UTF-8 becomes U+FFFD.
func appendJSONString(to, text []byte) []byte {
	const hex = "0123456789abcdef"
	to = append(to, '"')
	for len(text) > 0 {
		c := text[0]
		if c >= utf8.RuneSelf {
			r, size := utf8.DecodeRune(text)
			to = utf8.AppendRune(to, r)
			text = text[size:]
			continue
		}
		switch {
		case c == '"' || c == '\\':
			to = append(to, '\\', c)
		case c == '\n':
			to = append(to, '\\', 'n')
		case c < ' ':
			to = append(to, '\\', 'u', '0', '0', hex[c>>4], hex[c&0xf])
		default:
			to = append(to, c)
		}
		text = text[1:]
	}
	return append(to, '"')
}
