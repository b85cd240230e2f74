package config

import (
	"context"
	"errors"
	"log/slog"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Publisher puts configurations in force. It runs its own follower of the
// configuration stream.
type Publisher struct {
	stream *logstream.Stream[*Fold]
}

// NewPublisher returns a publisher. writer is a new incarnation each time.
func NewPublisher(log infra.Log, writer string) *Publisher {
	return &Publisher{stream: logstream.New(log, StreamName, NewFold(), logstream.Options{
		Writer: writer,
		Logger: slog.New(slog.DiscardHandler),
	})}
}

// Run follows the log until ctx ends.
func (p *Publisher) Run(ctx context.Context) { p.stream.Run(ctx) }

// InForce returns the configuration in force at the log's end.
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

// Publish puts next in force on top of the version base. A lost answer is
// settled by reading back, as long as ctx allows. The version in force is
// returned also when next was in force already, as after a repeated call.
func (p *Publisher) Publish(ctx context.Context, base infra.Offset, next Configuration) (Versioned, error) {
	before, err := p.InForce(ctx)
	if err != nil {
		return Versioned{}, err
	}
	if before.Version != base {
		return p.lost(base, before, next)
	}
	receipt, err := p.stream.Propose(ctx, KindPublish, Publish{Base: base, Configuration: next})
	if err != nil {
		return Versioned{}, publishFailure(err)
	}
	var race *LostRaceError
	if errors.As(receipt.Void, &race) {
		return p.lost(base, p.current(), next)
	}
	if receipt.Void != nil {
		return Versioned{}, receipt.Void
	}
	return Versioned{Version: receipt.Offset, Configuration: next}, nil
}

// lost tells a lost race from a repeat of what was published.
func (p *Publisher) lost(base infra.Offset, inForce Versioned, next Configuration) (Versioned, error) {
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
