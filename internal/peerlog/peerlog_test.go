package peerlog_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/peerlog"
)

var _ = Describe("Reading through another daemon", func() {
	ctx := context.Background()
	var log *fakes.KeyedLog
	var through keyed.Log
	BeforeEach(func() {
		log = fakes.NewKeyedLog()
		server := httptest.NewServer(peerlog.Handler(log))
		DeferCleanup(server.Close)
		through = peerlog.NewClient(delivery.NewTracker()).LogVia(strings.TrimPrefix(server.URL, "http://"))
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "a", Value: []byte{0, 255}})).To(Succeed())
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "a"})).To(Succeed())
		Expect(log.Put(ctx, "keyed.t", keyed.Record{Key: "b", Value: []byte("2")})).To(Succeed())
	})

	It("returns the same records as a direct read", func() {
		direct, err := log.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		page, err := through.Newest(ctx, "keyed.t", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal(direct))
		direct, err = log.Read(ctx, "keyed.t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		page, err = through.Read(ctx, "keyed.t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(Equal(direct))
	})

	It("reports expired records, and fails when the other daemon cannot read", func() {
		log.Compact("keyed.t")
		_, err := through.Read(ctx, "keyed.t", 0, 0)
		var expired *keyed.ExpiredError
		Expect(errors.As(err, &expired)).To(BeTrue())
		Expect(expired.First).To(Equal(uint64(3)))
		log.SetDown(true)
		_, err = through.Read(ctx, "keyed.t", 3, 0)
		var refused *keyed.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
	})

	It("waits for new records", func() {
		time.AfterFunc(30*time.Millisecond, func() {
			_ = log.Put(ctx, "keyed.t", keyed.Record{Key: "c", Value: []byte("3")})
		})
		page, err := through.Read(ctx, "keyed.t", 3, 3*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1))
	})
})
