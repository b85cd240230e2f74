package invariant

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/infra"
)

const (
	pageRecords   = 1000
	sourceTimeout = 5 * time.Second
)

// Sources are the log and the fake engines of one data centre, which run as
// separate processes.
type Sources struct {
	Log        infra.Log
	DataCentre fleet.DataCentre
	Engines    []string // IP addresses with ports
}

// Gather reads the recorded data from the fakes. The caller must set the bounds of
// the returned check. It fails with SourceError.
func (s Sources) Gather(ctx context.Context) (Check, error) {
	records, err := s.groupStream(ctx)
	if err != nil {
		return Check{}, err
	}
	check := Check{Ledger: NewLedger(records), Leaving: map[fleet.VMID]time.Time{}}
	client := resty.New().SetTimeout(sourceTimeout)
	for _, address := range s.Engines {
		var events []fakes.EngineEvent
		response, err := client.R().SetContext(ctx).SetResult(&events).Get("http://" + address + fakes.PathEvents)
		if err != nil {
			return Check{}, &SourceError{Source: address, Err: err}
		}
		if !response.IsSuccess() {
			return Check{}, &SourceError{Source: address, Status: response.StatusCode()}
		}
		check.Events = append(check.Events, events...)
	}
	return check, nil
}

func (s Sources) groupStream(ctx context.Context) ([]infra.Record, error) {
	name := group.StreamName(s.DataCentre)
	var records []infra.Record
	from := infra.FirstOffset
	for {
		page, err := s.Log.Read(ctx, name, from, pageRecords, 0)
		if err != nil {
			return nil, &SourceError{Source: name, Err: err}
		}
		records = append(records, page.Records...)
		from += infra.Offset(len(page.Records))
		if len(page.Records) == 0 || from >= page.Next {
			return records, nil
		}
	}
}
