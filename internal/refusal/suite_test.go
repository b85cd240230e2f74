package refusal_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRefusal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "refusal")
}
