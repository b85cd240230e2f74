package evidence

import (
	"context"
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

const (
	digestInterval = time.Minute
	maxUnsent      = 60 // number of digests buffered while the log is unavailable
	appendTimeout  = 5 * time.Second
)

// Publisher appends a daemon's digests to its evidence stream. While the log is
// unavailable it buffers up to maxUnsent digests, then drops the oldest.
type Publisher struct {
	log      infra.Log
	recorder *Recorder
	stream   string
	writer   string
	logger   *slog.Logger
	seq      uint64
	unsent   [][]byte
	onDrop   func()
}

// NewPublisher returns a publisher. onDrop is called for each dropped digest.
func NewPublisher(log infra.Log, recorder *Recorder, logger *slog.Logger, onDrop func()) *Publisher {
	return &Publisher{
		log:      log,
		recorder: recorder,
		stream:   StreamName(recorder.dataCentre),
		writer:   string(recorder.daemon) + ".evidence",
		logger:   logger,
		onDrop:   onDrop,
	}
}

// Run appends a digest every minute until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
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

// Finish appends the final digest after a planned stop.
func (p *Publisher) Finish(ctx context.Context, now time.Time) {
	p.publish(ctx, p.recorder.Take(now, true))
}

// publish appends a digest together with the buffered ones. A retry after an
// unknown outcome repeats sequence numbers; readers drop the duplicates.
func (p *Publisher) publish(ctx context.Context, digest Digest) {
	record, err := p.encode(digest)
	if err != nil {
		p.logger.Error("cannot encode evidence digest", "error", err)
		return
	}
	p.unsent = append(p.unsent, record)
	for len(p.unsent) > maxUnsent {
		p.unsent = p.unsent[1:]
		p.onDrop()
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := p.log.Append(ctx, p.stream, p.unsent); err != nil {
		p.logger.Warn("cannot append evidence digests", "unsent", len(p.unsent), "error", err)
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
