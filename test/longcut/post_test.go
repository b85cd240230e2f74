package longcut

import (
	"io"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// post sends one request and returns the status code, outcome and body of the
// response, or code 0 and the error text when the connection failed.
func post(d *testbed.Daemon, path, key, body string, header http.Header) (int, refusal.Outcome, string) {
	response, err := d.Post(path, key, body, header)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, refusal.Outcome(response.Header.Get(refusal.OutcomeHeader)), string(text)
}
