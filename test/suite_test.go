package test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pollInterval is the interval at which Eventually and Consistently check a
// condition.
const pollInterval = 50 * time.Millisecond

func TestWholeSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "whole system")
}
