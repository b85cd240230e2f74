package peerlog_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/peerlog"
	"github.com/plantainmux/plantainmux/internal/wiretest"
)

// The types of the previous version (commit 0bf6cfb), copied.
type (
	oldPage struct {
		Records []oldRecord `cbor:"1,keyasint"`
		End     uint64      `cbor:"2,keyasint"`
		More    bool        `cbor:"3,keyasint"`
		Expired bool        `cbor:"4,keyasint"`
		First   uint64      `cbor:"5,keyasint"`
		AgeMS   int64       `cbor:"6,keyasint"`
		Era     uint64      `cbor:"7,keyasint,omitempty"`
		Next    uint64      `cbor:"8,keyasint,omitempty"`
	}
	oldRecord struct {
		Key    string `cbor:"1,keyasint"`
		Value  []byte `cbor:"2,keyasint"`
		Offset uint64 `cbor:"3,keyasint"`
	}
)

// Guards against a daemon that reads the store for its data centre and that those of the other version
// cannot read from.
var _ = Describe("Reading through a daemon of another version", func() {
	It("gives this version what the previous one has read", func() {
		previous, err := wiretest.Previous()
		Expect(err).NotTo(HaveOccurred())
		answer := previous["page"]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
		DeferCleanup(server.Close)
		through := peerlog.NewClient(delivery.NewTracker()).LogVia(strings.TrimPrefix(server.URL, "http://"))
		page, err := through.Read(context.Background(), "t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal(keyed.Page{
			Records: []keyed.Record{{Key: "a", Value: []byte{0, 255}, Offset: 4}, {Key: "b", Offset: 5}}, End: 6, More: true, Age: 70 * time.Millisecond, Era: 2, Next: 8,
		}))
		answer = previous["expired"]
		_, err = through.Read(context.Background(), "t", 1, 0)
		var expired *keyed.ExpiredError
		Expect(errors.As(err, &expired)).To(BeTrue())
		Expect(expired.First).To(Equal(uint64(9)))
	})

	It("gives the previous version what this one has read, by the call that it makes", func() {
		log := fakes.NewKeyedLog()
		Expect(log.Put(context.Background(), "t", keyed.Record{Key: "a", Value: []byte{0, 255}})).To(Succeed())
		server := httptest.NewServer(peerlog.Handler(log))
		DeferCleanup(server.Close)
		response, err := http.Get(server.URL + "/store?topic=t&from=0&wait_ms=0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		var page oldPage
		Expect(cbor.Unmarshal(data, &page)).To(Succeed())
		Expect(page.Records).To(HaveLen(1))
		Expect(page.Records[0].Value).To(Equal([]byte{0, 255}))
		Expect(page.End).To(BeNumerically(">", page.Records[0].Offset))
	})
})
