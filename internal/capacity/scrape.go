package capacity

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"
)

const scrapeTimeout = 5 * time.Second

// ScrapeAll reads the metrics pages of daemons, given by their admin addresses.
func ScrapeAll(admins []string) ([]Sample, error) {
	client := resty.New().SetTimeout(scrapeTimeout)
	samples := make([]Sample, 0, len(admins))
	for _, admin := range admins {
		response, err := client.R().Get("http://" + admin + "/metrics")
		if err != nil {
			return nil, &ScrapeError{Admin: admin, Err: err}
		}
		if response.StatusCode() != http.StatusOK {
			return nil, &ScrapeError{Admin: admin, Status: response.StatusCode()}
		}
		samples = append(samples, ParseSample(strings.NewReader(response.String())))
	}
	return samples, nil
}

// ParseSample reads a metrics page and passes over what is not a value.
func ParseSample(r io.Reader) Sample {
	sample := Sample{}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if !ok {
			continue
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			sample[name] = number
		}
	}
	return sample
}

// ScrapeError says that a metrics page could not be read.
type ScrapeError struct {
	Admin  string
	Status int // 0 when there was no answer
	Err    error
}

// Error implements error.
func (e *ScrapeError) Error() string {
	return fmt.Sprintf("metrics of %s: status %d: %v", e.Admin, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *ScrapeError) Unwrap() error { return e.Err }
