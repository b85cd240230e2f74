package longcut

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLongPartition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "long partition")
}
