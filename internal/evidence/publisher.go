package evidence

import (
	"context"
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

const (
	digestPeriod  = time.Minute
	maxUnsent     = 60 // digests kept while the log is away
	appendTimeout = 5 * time.Second
)

// Publisher appends a daemon's digests. It keeps the digests of an outage and
// drops the oldest when there are too many.
type Publisher struct {
	log      infra.Log
	recorder *Recorder
	stream   string
	writer   string
	logger   *slog.Logger
	seq      uint64
	unsent   [][]byte
	lost     func()
}

// NewPublisher returns a publisher. lost is called for each dropped digest.
func NewPublisher(log infra.Log, recorder *Recorder, logger *slog.Logger, lost func()) *Publisher {
	return &Publisher{
		log:      log,
		recorder: recorder,
		stream:   StreamName(recorder.dataCentre),
		writer:   string(recorder.daemon) + ".evidence",
		logger:   logger,
		lost:     lost,
	}
}

// Run appends a digest each minute until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(digestPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.publish(ctx, p.recorder.Take(now, false))
		}
	}
}

// Finish appends the last digest after a planned stop.
func (p *Publisher) Finish(ctx context.Context, now time.Time) {
	p.publish(ctx, p.recorder.Take(now, true))
}

// publish appends a digest with those that an outage held up. A repeated append
// after a lost answer repeats sequence numbers, which a reader drops.
func (p *Publisher) publish(ctx context.Context, digest Digest) {
	record, err := p.encode(digest)
	if err != nil {
		p.logger.Error("digest not encoded", "error", err)
		return
	}
	p.unsent = append(p.unsent, record)
	for len(p.unsent) > maxUnsent {
		p.unsent = p.unsent[1:]
		p.lost()
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := p.log.Append(ctx, p.stream, p.unsent); err != nil {
		p.logger.Warn("digest not appended", "unsent", len(p.unsent), "error", err)
		return
	}
	p.unsent = nil
}

func (p *Publisher) encode(digest Digest) ([]byte, error) {
	body, err := logstream.Marshal(digest)
	if err != nil {
		return nil, err
	}
	p.seq++
	return logstream.Marshal(logstream.Entry{
		Writer: p.writer,
		Seq:    p.seq,
		Millis: digest.To,
		Kind:   KindDigest,
		Body:   body,
	})
}
