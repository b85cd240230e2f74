package callerapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallerAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerapi")
}
