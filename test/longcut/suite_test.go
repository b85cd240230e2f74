package longcut

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLongCut(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "long cut")
}
