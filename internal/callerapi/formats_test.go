package callerapi_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

// answer holds the fields of an answer or a chunk that language model clients read.
type answer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Text    string `json:"text"`
		Message struct{ Role, Content string }
		Delta   struct {
			Role    string
			Content *string
		}
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
}

var _ = Describe("The format of an answer", func() {
	const tokens = 3
	var r *rig

	BeforeEach(func() {
		r = newRig(GinkgoT(), fakes.EngineOptions{VM: "vm", Tokens: 9})
	})
	ask := func(path, body string) string {
		request, err := http.NewRequest(http.MethodPost, r.caller.URL()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer key")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(data)
	}
	decode := func(text string) answer {
		var decoded answer
		Expect(json.Unmarshal([]byte(text), &decoded)).To(Succeed())
		Expect(decoded.Model).To(Equal("rig"))
		Expect(decoded.ID).NotTo(BeEmpty())
		Expect(time.Unix(decoded.Created, 0)).To(BeTemporally("~", time.Now(), time.Minute))
		return decoded
	}
	chunks := func(stream string) []answer {
		events := strings.Split(strings.TrimSuffix(stream, "\n\n"), "\n\n")
		Expect(events[len(events)-1]).To(Equal("data: [DONE]"))
		var decoded []answer
		for _, event := range events[:len(events)-1] {
			decoded = append(decoded, decode(strings.TrimPrefix(event, "data: ")))
		}
		return decoded
	}

	It("has the complete text, the role and the token usage without streaming", func() {
		chat := `{"model":"rig","max_tokens":3,"messages":[{"role":"user","content":"laid cream"}]}`
		completion := decode(ask("/v1/chat/completions", chat))
		Expect(completion.Object).To(Equal("chat.completion"))
		Expect(completion.Choices[0].Message.Role).To(Equal("assistant"))
		Expect(completion.Choices[0].Message.Content).To(Equal(fakes.Answer([]byte(chat), tokens)))
		Expect(completion.Usage.Completion).To(Equal(tokens))
		Expect(completion.Usage.Total).To(Equal(completion.Usage.Prompt + tokens))
	})

	It("has the role in the first chunk, and the usage only if requested", func() {
		body := `{"model":"rig","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"laid cream"}]}`
		parts := chunks(ask("/v1/chat/completions", body))
		text := ""
		for i, part := range parts {
			Expect(part.Object).To(Equal("chat.completion.chunk"))
			Expect(part.ID).To(Equal(parts[0].ID))
			Expect(part.Usage).To(BeNil())
			Expect(part.Choices[0].Delta.Role != "").To(Equal(i == 0))
			Expect(part.Choices[0].FinishReason != nil).To(Equal(i == len(parts)-1))
			text += *part.Choices[0].Delta.Content
		}
		Expect(text).To(Equal(fakes.Answer([]byte(body), tokens)))

		body = strings.Replace(body, `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1)
		parts = chunks(ask("/v1/chat/completions", body))
		last := parts[len(parts)-1]
		Expect(last.Choices).To(BeEmpty())
		Expect(last.Usage.Completion).To(Equal(tokens))
	})

	It("has the text of a plain completion", func() {
		body := `{"model":"rig","stream":true,"prompt":"laid cream","max_tokens":3,"stream_options":{"include_usage":true}}`
		parts := chunks(ask("/v1/completions", body))
		Expect(parts[0].Object).To(Equal("text_completion"))
		Expect(parts[0].Choices[0].Text).To(Equal(fakes.Token([]byte(body), 0)))
		Expect(parts[len(parts)-1].Usage.Total).To(BeNumerically(">", tokens))
	})
})
