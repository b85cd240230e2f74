package notice

import "sync/atomic"

// Publisher hands notices to one subscriber.
type Publisher struct{ handler atomic.Pointer[func(Notice)] }

// NewPublisher returns a publisher without a subscriber, which drops the notices.
func NewPublisher() *Publisher { return &Publisher{} }

// Subscribe sets the function that receives the notices. It is called before the answer that
// made the announcement is passed on, by several goroutines at once.
func (p *Publisher) Subscribe(handler func(Notice)) { p.handler.Store(&handler) }

// Publish hands a notice to the subscriber, unless it is empty.
func (p *Publisher) Publish(n Notice) {
	if n.Empty() {
		return
	}
	if handler := p.handler.Load(); handler != nil {
		(*handler)(n)
	}
}
