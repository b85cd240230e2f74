package order_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/order"
)

var _ = Describe("A key", func() {
	It("belongs to one team and one service", func() {
		key := order.NewKey("clerks", "tickets", "1")
		Expect(order.NewKey("merchants", "tickets", "1")).NotTo(Equal(key))
		Expect(order.NewKey("clerks", "orders", "1")).NotTo(Equal(key))
		team, service, given := key.Parts()
		Expect([]string{string(team), service, given}).To(Equal([]string{"clerks", "tickets", "1"}))
	})
})
