package test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tick is the time between two looks at a condition.
const tick = 50 * time.Millisecond

func TestWholePath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "whole path")
}
