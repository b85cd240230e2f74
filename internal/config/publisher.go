package config

import (
	"context"
	"errors"
	"log/slog"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Publisher puts configurations in force. It follows the configuration stream
// itself and needs no daemon.
type Publisher struct {
	stream *logstream.Stream[*Fold]
}

// NewPublisher returns a publisher. writer is its writer ID in the log and must
// be unique to each publisher.
func NewPublisher(log infra.Log, writer string) *Publisher {
	return &Publisher{stream: logstream.New(log, StreamName, NewFold(), logstream.Options{
		Writer: writer,
		Logger: slog.New(slog.DiscardHandler),
	})}
}

// Run follows the log until ctx ends.
func (p *Publisher) Run(ctx context.Context) { p.stream.Run(ctx) }

// InForce returns the configuration in force at the end of the log. It fails with
// LogAwayError if the log cannot be read.
func (p *Publisher) InForce(ctx context.Context) (Versioned, error) {
	if err := p.stream.WaitBooted(ctx); err != nil {
		return Versioned{}, &LogAwayError{Err: err}
	}
	if err := p.stream.Confirm(ctx); err != nil {
		return Versioned{}, &LogAwayError{Err: err}
	}
	return p.current(), nil
}

func (p *Publisher) current() Versioned {
	var current Versioned
	p.stream.Read(func(fold *Fold) { current = fold.Current() })
	return current
}

// Publish puts next in force if the version in force is base, and returns the new
// version. If the log's response to the append is lost, the outcome is determined
// by reading the stream until ctx ends. If next is in force already, as after a
// repeated call, the version in force is returned. It fails with ConflictError,
// LogAwayError or OutcomeUnknownError.
func (p *Publisher) Publish(ctx context.Context, base infra.Offset, next Configuration) (Versioned, error) {
	before, err := p.InForce(ctx)
	if err != nil {
		return Versioned{}, err
	}
	if before.Version != base {
		return p.resolveConflict(base, before, next)
	}
	receipt, err := p.stream.Propose(ctx, KindPublish, Publish{Base: base, Configuration: next})
	if err != nil {
		return Versioned{}, publishFailure(err)
	}
	var race *LostRaceError
	if errors.As(receipt.Void, &race) {
		return p.resolveConflict(base, p.current(), next)
	}
	if receipt.Void != nil {
		return Versioned{}, receipt.Void
	}
	return Versioned{Version: receipt.Offset, Configuration: next}, nil
}

// resolveConflict returns the version in force if its configuration equals
// next, because the publication is then a repetition, and a ConflictError
// otherwise.
func (p *Publisher) resolveConflict(base infra.Offset, inForce Versioned, next Configuration) (Versioned, error) {
	changes := Diff(inForce.Configuration, next)
	if len(changes) == 0 && inForce.Version != 0 {
		return inForce, nil
	}
	race := &LostRaceError{Base: base, InForce: inForce.Version}
	return Versioned{}, &ConflictError{Race: race, Changes: changes}
}

func publishFailure(err error) error {
	var proposal *logstream.ProposalError
	if errors.As(err, &proposal) && proposal.Sent {
		return &OutcomeUnknownError{Err: err}
	}
	return &LogAwayError{Err: err}
}
