package callerconn_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallerConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connections of callers")
}
