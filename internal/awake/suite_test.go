package awake_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAwake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Awake")
}
