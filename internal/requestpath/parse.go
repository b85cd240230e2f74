package requestpath

import "strings"

// Parse returns the path of a request target, byte for byte as it was sent. It allocates nothing.
func Parse(target string) (string, *TargetError) {
	if !strings.HasPrefix(target, "/") {
		return "", &TargetError{Cause: NoPath}
	}
	path, _, _ := strings.Cut(target, "?")
	for i := range len(path) {
		switch c := path[i]; {
		case c <= ' ' || c == 0x7f || c == '#':
			return "", &TargetError{Cause: BadByte}
		case c == '%' && !escapeAt(path, i):
			return "", &TargetError{Cause: InvalidEscape}
		}
	}
	return path, nil
}

// Plain reports whether all readings of a path are the same.
func Plain(path string) bool {
	for i := range len(path) {
		switch path[i] {
		case '%', '\\':
			return false
		case '/':
			if i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.') {
				return false
			}
		}
	}
	return true
}

func escapeAt(path string, i int) bool {
	return i+2 < len(path) && isDigit(path[i+1]) && isDigit(path[i+2])
}

func isDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func digit(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}
