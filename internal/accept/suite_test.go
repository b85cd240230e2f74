package accept_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAccept(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accepting connections")
}
