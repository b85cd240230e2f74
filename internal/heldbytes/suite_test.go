package heldbytes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHeldBytes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "held bytes")
}
