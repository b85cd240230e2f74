package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	maxForwarded    = 512     // exchanges of other daemons at once; each has a goroutine, a connection and its buffers
	readBufferBytes = 8 << 10 // of a response, for a message
	logPerS         = 50      // lines a second on exchanges of other daemons
)

// ServerDependencies are the collaborators of a Server.
type ServerDependencies struct {
	Direct outbound.Sender // over this daemon's own connections: what is forwarded here is not forwarded again
	// Admit decides whether this daemon sends an exchange of another one to its endpoint now. It
	// returns the endpoint as this daemon knows it, and a function to call when the exchange is over.
	Admit  func(from fleet.DaemonID, wanted outbound.Exchange) (endpoint outbound.Endpoint, done func(), refused *outbound.NotSentError)
	Count  func(metric string) // increments a counter
	Logger *slog.Logger
}

// Server carries out the exchanges that other daemons forward to this one.
type Server struct {
	ServerDependencies
	places  chan struct{}
	logRate *rate.Limiter
}

// NewServer returns a server and registers its handler with the mesh.
func NewServer(mesh Mesh, dependencies ServerDependencies) *Server {
	s := &Server{ServerDependencies: dependencies, places: make(chan struct{}, maxForwarded), logRate: rate.NewLimiter(logPerS, logPerS)}
	mesh.HandleStream(peer.MethodExchange, s.handle)
	return s
}

func (s *Server) handle(ctx context.Context, from fleet.DaemonID, data cbor.RawMessage, send func(any) error) error {
	var exchange outbound.Exchange
	if err := cbor.Unmarshal(data, &exchange); err != nil {
		return send(message{Failure: &failure{NotSent: true, Blame: outbound.BlamePath, Text: "unreadable: " + err.Error()}})
	}
	began := time.Now()
	err := s.run(ctx, from, exchange, send)
	s.report(exchange, from, began, err)
	var sending *sendError
	if err == nil || errors.As(err, &sending) {
		return err
	}
	return send(message{Failure: failureOf(err)})
}

// run sends an exchange and passes its response on.
func (s *Server) run(ctx context.Context, from fleet.DaemonID, exchange outbound.Exchange, send func(any) error) error {
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	default:
		return &outbound.NotSentError{Blame: outbound.BlamePath, Err: &BusyError{Limit: maxForwarded}}
	}
	endpoint, done, refused := s.Admit(from, exchange)
	if refused != nil {
		return refused
	}
	defer done()
	exchange.Endpoint = endpoint
	if ctx.Err() != nil {
		return &outbound.NotSentError{Blame: outbound.BlamePath, Err: ctx.Err()}
	}
	response, err := s.Direct.Send(ctx, exchange)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := send(message{Head: &head{Status: response.Status, Header: response.Header}}); err != nil {
		return &sendError{err}
	}
	return s.copyBody(response.Body, send)
}

func (s *Server) copyBody(body io.Reader, send func(any) error) error {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := send(message{Data: buffer[:n]}); err != nil {
				return &sendError{err}
			}
		}
		if err == io.EOF {
			if err := send(message{End: true}); err != nil {
				return &sendError{err}
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func failureOf(err error) *failure {
	var notSent *outbound.NotSentError
	if errors.As(err, &notSent) {
		return &failure{NotSent: true, Blame: notSent.Blame, Text: notSent.Err.Error()}
	}
	var withdrawn *delivery.WithdrawnError
	if errors.As(err, &withdrawn) {
		return &failure{Text: err.Error(), Withdrawn: withdrawn.Address}
	}
	return &failure{Text: err.Error()}
}

// report counts an exchange of another daemon and logs it with the caller's request, so that the
// request's story has the lines of both daemons.
func (s *Server) report(exchange outbound.Exchange, from fleet.DaemonID, began time.Time, err error) {
	outcome := "done"
	var notSent *outbound.NotSentError
	switch {
	case errors.As(err, &notSent):
		outcome = "not_sent_" + notSent.Blame.String()
	case err != nil:
		outcome = "broken"
	}
	s.Count(fmt.Sprintf(`plantainmux_forwarded_for_others_total{outcome=%q}`, outcome))
	if !s.logRate.Allow() {
		s.Count(`plantainmux_forwarded_lines_left_out_total`)
		return
	}
	s.Logger.Info("exchange of another daemon", "request", exchange.RequestID, "from", from, "endpoint", exchange.Endpoint.ID,
		"outcome", outcome, "took_ms", time.Since(began).Milliseconds(), "error", err)
}
