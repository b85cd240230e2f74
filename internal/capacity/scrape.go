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

// ScrapeAll reads the metrics of daemons from their admin addresses.
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

// ParseSample parses metrics in the Prometheus text format and ignores lines that
// are not samples.
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

// ScrapeError reports that the metrics of a daemon could not be read.
type ScrapeError struct {
	Admin  string
	Status int // HTTP status, or 0 when there was no response
	Err    error
}

// Error implements error.
func (e *ScrapeError) Error() string {
	return fmt.Sprintf("cannot scrape metrics of %s: status %d: %v", e.Admin, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *ScrapeError) Unwrap() error { return e.Err }
