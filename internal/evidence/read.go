package evidence

import (
	"context"
	"errors"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

const maxPageRecords = 1024

// Read reads the retained records of all streams that a report is computed from.
func Read(ctx context.Context, log infra.Log, dataCentres []fleet.DataCentre) (Records, error) {
	r := reader{ctx: ctx, log: log}
	records := Records{
		Config:   r.history(config.StreamName),
		Groups:   map[fleet.DataCentre]History{},
		Evidence: map[fleet.DataCentre]History{},
	}
	for _, dataCentre := range dataCentres {
		records.Groups[dataCentre] = r.history(group.StreamName(dataCentre))
		records.Evidence[dataCentre] = r.history(StreamName(dataCentre))
	}
	for slot := range order.Slots {
		records.Orders = append(records.Orders, r.history(order.StreamName(order.Slot(slot))))
	}
	return records, r.err
}

// reader reads streams. After the first error it returns empty histories.
type reader struct {
	ctx context.Context
	log infra.Log
	err error
}

func (r *reader) history(stream string) History {
	h := History{Stream: stream, Oldest: infra.FirstOffset, Next: infra.FirstOffset}
	if r.err != nil {
		return h
	}
	lastSeq := map[string]uint64{}
	from := infra.FirstOffset
	for {
		page, err := r.log.Read(r.ctx, stream, from, maxPageRecords, 0)
		var expired *infra.ExpiredError
		if errors.As(err, &expired) {
			from = expired.Oldest
			h.Oldest = expired.Oldest
			continue
		}
		if err != nil {
			r.err = err
			return h
		}
		h.Next = page.Next
		if len(page.Records) == 0 {
			return h
		}
		for _, record := range page.Records {
			h.add(record, lastSeq)
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}

// add appends a record unless it is a duplicate of an earlier one of its writer.
func (h *History) add(record infra.Record, lastSeq map[string]uint64) {
	var entry logstream.Entry
	if err := logstream.Unmarshal(record.Data, &entry); err != nil {
		h.Unread++
		return
	}
	if entry.Seq <= lastSeq[entry.Writer] {
		return
	}
	lastSeq[entry.Writer] = entry.Seq
	h.Items = append(h.Items, Item{Offset: record.Offset, Entry: entry})
}
