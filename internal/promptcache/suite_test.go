package promptcache_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPromptCache(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prompt cache")
}
