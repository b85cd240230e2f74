package logstream

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/platform"
)

// bootstrapPage is the number of records of one read at a start.
const bootstrapPage = 1024

// readRetained returns every retained record of a stream.
func readRetained(ctx context.Context, log platform.Log, stream string) (platform.Page, error) {
	page, err := readFromOldest(ctx, log, stream)
	if err != nil {
		return page, err
	}
	for next := page.Oldest + platform.Offset(len(page.Records)); next < page.Next; {
		more, err := log.Read(ctx, stream, next, bootstrapPage, 0)
		if err != nil {
			return page, err
		}
		if len(more.Records) == 0 {
			break
		}
		page.Records = append(page.Records, more.Records...)
		page.Next = more.Next
		next = more.Records[len(more.Records)-1].Offset + 1
	}
	return page, nil
}

func readFromOldest(ctx context.Context, log platform.Log, stream string) (platform.Page, error) {
	from := platform.FirstOffset
	for {
		page, err := log.Read(ctx, stream, from, bootstrapPage, 0)
		expired, ok := asExpired(err)
		if !ok {
			return page, err
		}
		from = expired.Oldest
	}
}

// newestSnapshot returns the newest snapshot that the retained records can be
// continued from.
func newestSnapshot(page platform.Page) (snapshot, bool) {
	for i := len(page.Records) - 1; i >= 0; i-- {
		var entry Entry
		if Unmarshal(page.Records[i].Data, &entry) != nil || entry.Kind != KindSnapshot {
			continue
		}
		var found snapshot
		if Unmarshal(entry.Body, &found) != nil || found.AsOf+1 < page.Oldest {
			continue
		}
		return found, true
	}
	return snapshot{}, false
}
