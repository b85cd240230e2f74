package requestpath

import "strings"

// Reading is a way in which a reader other than this one understands a path. All of them decode the
// escapes of unreserved characters; an encoded slash stays data.
type Reading int

// Readings.
const (
	Escapes  Reading = iota // no more than that
	Dots                    // dot segments are resolved
	Merged                  // empty segments are left out, and a backslash is a slash
	Resolved                // both
)

// Readings lists every reading.
var Readings = [...]Reading{Escapes, Dots, Merged, Resolved}

// Read returns a path as a reading understands it.
func (r Reading) Read(path string) string {
	if Plain(path) {
		return path
	}
	path = decodeUnreserved(path)
	if r == Merged || r == Resolved {
		path = merge(strings.ReplaceAll(path, `\`, "/"))
	}
	if r == Dots || r == Resolved {
		path = resolveDots(path)
	}
	return path
}

func merge(path string) string {
	var merged strings.Builder
	for i := range len(path) {
		if path[i] != '/' || i == 0 || path[i-1] != '/' {
			merged.WriteByte(path[i])
		}
	}
	return merged.String()
}

// resolveDots removes dot segments as RFC 3986 does (5.2.4).
func resolveDots(path string) string {
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	kept := make([]string, 0, len(segments)+1)
	for i, segment := range segments {
		last := i == len(segments)-1
		name, _, _ := strings.Cut(segment, ";") // some readers resolve "..;x" as well
		switch name {
		case "..":
			kept = kept[:max(0, len(kept)-1)]
		case ".":
		default:
			kept = append(kept, segment)
			continue
		}
		if last {
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/")
}

// decodeUnreserved decodes the escapes of unreserved characters, and writes the digits of the others
// in upper case (RFC 3986, 6.2.2).
func decodeUnreserved(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var decoded strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '%' || !escapeAt(path, i) {
			decoded.WriteByte(path[i])
			continue
		}
		if c := digit(path[i+1])<<4 | digit(path[i+2]); unreserved(c) {
			decoded.WriteByte(c)
		} else {
			decoded.WriteString(strings.ToUpper(path[i : i+3]))
		}
		i += 2
	}
	return decoded.String()
}

func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}
