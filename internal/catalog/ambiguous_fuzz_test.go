package catalog_test

import (
	"bufio"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/requestpath"
)

var fuzzPrefixes = []string{"/", "/docs/", "/docs/press/", "/docs/open/", "/a%2fb/", "/x//y/"}

// longestPrefix is the routing rule of the users' protocol.
func longestPrefix(path string) (longest string) {
	for _, prefix := range fuzzPrefixes {
		if len(prefix) > len(longest) && strings.HasPrefix(path, prefix) {
			longest = prefix
		}
	}
	return longest
}

// FuzzRoute asks that a target that is passed on is routed as a plain reader of the forwarded bytes
// routes it, and as one does that decodes whole segments and resolves dots.
func FuzzRoute(f *testing.F) {
	for _, seed := range []string{
		"/docs/press%2F0/2f", "/docs/open%2f", "/docs/../x", "/docs/%2e%2E/docs/open/", "/docs//press/1", "//docs/1", "/%64ocs/1", "/docs/press;a/1",
		"/docs/..;/open/1", "*", "http://b.example/docs/1", "/docs/%zz", "/docs/#/../1", "/a%2Fb/1", "/a%2fb/1", "/x//y/1", "/x/y/1", `/docs\press\1`, "/docs/?/../open/",
	} {
		f.Add(seed)
	}
	routes := make([]catalog.Route, 0, len(fuzzPrefixes))
	for _, prefix := range fuzzPrefixes {
		routes = append(routes, catalog.Route{Name: prefix, Host: "a.example", Prefix: prefix})
	}
	c := catalog.New(1, routes, nil, nil, catalog.Limits{})
	f.Fuzz(func(t *testing.T, target string) {
		head := "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
		read, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil || read.RequestURI != target {
			return // the server refuses it
		}
		sent, bad := requestpath.Parse(target)
		if bad != nil {
			return
		}
		route := c.Route(read.Host, sent)
		if c.Ambiguous(read.Host, sent, route) {
			return
		}
		plain, _, _ := strings.Cut(strings.Split(head, " ")[1], "?")
		if want := longestPrefix(plain); route == nil || route.Name != want {
			t.Fatalf("%q is routed to %v, a plain reader chooses %s", target, route, want)
		}
		if strings.Contains(route.Name, "%") || strings.Contains(route.Name[1:], "//") {
			return // the reader below knows no such prefixes
		}
		if got := longestPrefix(cleaned(t, plain)); got != route.Name {
			t.Fatalf("%q is routed to %s, a reader that cleans paths chooses %s", target, route.Name, got)
		}
	})
}

// cleaned returns a path with decoded segments, cleaned by the standard library.
func cleaned(t *testing.T, sent string) string {
	segments := strings.Split(sent, "/")
	for i, segment := range segments {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			t.Fatal(err)
		}
		segments[i] = strings.NewReplacer("/", "%2F", "%", "%25").Replace(decoded)
	}
	joined := strings.Join(segments, "/")
	result := path.Clean(joined)
	if last := segments[len(segments)-1]; result != "/" && (last == "" || last == "." || last == "..") {
		result += "/"
	}
	return result
}
