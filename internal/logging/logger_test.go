package logging_test

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logging"
)

var _ = Describe("The logger", func() {
	logged := func(err error) map[string]any {
		var out bytes.Buffer
		logging.New(&out).Error("failed", "error", err)
		line := map[string]any{}
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		return line
	}

	It("adds the source line to a wrapped error", func() {
		err := &infra.UnavailableError{Operation: "read", Err: merry.Wrap(io.ErrUnexpectedEOF)}
		Expect(logged(err)["error"]).To(HaveKeyWithValue("message", "platform unavailable: read: unexpected EOF"))
		Expect(logged(err)["error"]).To(HaveKeyWithValue("source", ContainSubstring("logger_test.go")))
	})

	It("logs an error without a source line as text", func() {
		Expect(logged(&infra.RateLimitedError{})["error"]).To(ContainSubstring("append rate"))
	})
})
