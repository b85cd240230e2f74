package catalog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/catalog"
)

var _ = Describe("A path that readers may understand differently", func() {
	c := catalog.New(1, []catalog.Route{
		{Name: "docs", Host: "a.example", Prefix: "/docs/"},
		{Name: "press", Host: "a.example", Prefix: "/docs/press/"},
		{Name: "escaped", Host: "a.example", Prefix: "/a%2fb/"},
		{Name: "empty", Host: "a.example", Prefix: "/x//y/"},
	}, nil, nil, catalog.Limits{})

	DescribeTable("is ambiguous only if it chooses another route", func(path string, ambiguous bool) {
		Expect(c.Ambiguous("A.example", path, c.Route("A.example", path))).To(Equal(ambiguous))
	},
		Entry("an encoded slash is data", "/docs/press%2F0", false),
		Entry("an encoded slash after a prefix that exists", "/docs/press%2f/1", false),
		Entry("dots within a route", "/docs/a/../b", false),
		Entry("dots out of a route", "/docs/a/../../b", true),
		Entry("encoded dots into another route", "/docs/a/%2e%2e/press/1", true),
		Entry("an empty segment within a route", "/docs//1", false),
		Entry("an empty segment before another route", "/docs//press/1", true),
		Entry("an encoded letter within a route", "/docs/%41", false),
		Entry("an encoded letter of another prefix", "/docs/%70ress/1", true),
		Entry("an escape of a prefix, as configured", "/a%2fb/1", false),
		Entry("an escape of a prefix, in upper case", "/a%2Fb/1", true),
		Entry("an empty segment of a prefix, as configured", "/x//y/1", false),
		Entry("no route by any reading", "/none/../other", false),
	)
})
