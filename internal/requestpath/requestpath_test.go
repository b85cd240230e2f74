package requestpath_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/requestpath"
)

var _ = Describe("The path of a request target", func() {
	DescribeTable("is taken byte for byte", func(target, path string) {
		found, err := requestpath.Parse(target)
		Expect(err).To(BeNil())
		Expect(found).To(Equal(path))
	},
		Entry("without a query", "/a/b?c=/d#e", "/a/b"),
		Entry("with escapes", "/a%2Fb/%2e%2E/", "/a%2Fb/%2e%2E/"),
		Entry("with an empty first segment", "//a.example/b", "//a.example/b"),
		Entry("with other reserved characters and bytes", "/a;b=\\\xc3", "/a;b=\\\xc3"),
	)

	DescribeTable("is missing", func(target string, cause requestpath.Cause) {
		_, err := requestpath.Parse(target)
		Expect(err).To(MatchError(&requestpath.TargetError{Cause: cause}))
	},
		Entry("from an asterisk", "*", requestpath.NoPath),
		Entry("from nothing", "", requestpath.NoPath),
		Entry("from an absolute target", "http://a.example/b", requestpath.NoPath),
		Entry("before a fragment", "/a#b", requestpath.BadByte),
		Entry("with a control byte", "/a\x00b", requestpath.BadByte),
		Entry("with an escape cut short", "/a%2", requestpath.InvalidEscape),
		Entry("with an escape of no number", "/a%2g", requestpath.InvalidEscape),
	)

	DescribeTable("is read by others", func(path, escapes, dots, merged, resolved string) {
		for reading, want := range map[requestpath.Reading]string{
			requestpath.Escapes: escapes, requestpath.Dots: dots, requestpath.Merged: merged, requestpath.Resolved: resolved,
		} {
			Expect(reading.Read(path)).To(Equal(want))
			Expect(reading.Read(want)).To(Equal(want))
		}
	},
		Entry("plain", "/a/b;c/", "/a/b;c/", "/a/b;c/", "/a/b;c/", "/a/b;c/"),
		Entry("reserved characters stay escaped", "/a%2fb%3b%25", "/a%2Fb%3B%25", "/a%2Fb%3B%25", "/a%2Fb%3B%25", "/a%2Fb%3B%25"),
		Entry("unreserved ones do not", "/%61/%7E", "/a/~", "/a/~", "/a/~", "/a/~"),
		Entry("dot segments", "/a/%2e%2E/../b/.", "/a/../../b/.", "/b/", "/a/../../b/.", "/b/"),
		Entry("dot segments with parameters", "/a/..;x/b", "/a/..;x/b", "/b", "/a/..;x/b", "/b"),
		Entry("empty segments", "/a//../b", "/a//../b", "/a/b", "/a/../b", "/b"),
		Entry("backslashes", `/a\\b`, `/a\\b`, `/a\\b`, "/a/b", "/a/b"),
	)

	It("costs no allocation", func() {
		Expect(testing.AllocsPerRun(100, func() {
			path, _ := requestpath.Parse("/v1/chat/completions;a?b=c%20")
			_ = requestpath.Resolved.Read(path)
		})).To(BeZero())
	})
})
