package spill_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpill(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spill")
}
