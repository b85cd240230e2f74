package loadlimit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoadLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit on loads")
}
