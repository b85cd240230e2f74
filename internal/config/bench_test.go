package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// sizedConfiguration returns a configuration with the given numbers of models
// and teams. Each model has replicas in 7 data centres, each team has two keys.
func sizedConfiguration(models, teams int) Configuration {
	var configuration Configuration
	for i := range models {
		model := Model{Name: fleet.ModelName(fmt.Sprintf("model-%d", i)), Version: "v1", Adapters: []string{"paper"}, Members: 4, Requests: 16, LoadSeconds: 60}
		for dataCentre := range 7 {
			model.Replicas = append(model.Replicas, Replicas{DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", dataCentre)), Count: 3})
		}
		configuration.Models = append(configuration.Models, model)
	}
	for i := range teams {
		hashes := []string{fmt.Sprintf("%064d", 2*i), fmt.Sprintf("%064d", 2*i+1)}
		configuration.Teams = append(configuration.Teams, Team{Name: fleet.TeamName(fmt.Sprintf("team-%d", i)), KeyHashes: hashes, Share: 1})
	}
	configuration.Policy = Policy{DowntimeWeight: 1, StrandedWeight: 1}
	return configuration
}

// BenchmarkChange measures the time that a daemon needs for one change of the
// configuration, by the numbers of models and teams: decoding the log page and
// the record, and applying the record. It also reports the size of the page, and
// of the encoded state, which is written as a snapshot after every 256th record.
func BenchmarkChange(b *testing.B) {
	for _, size := range []struct{ models, teams int }{{0, 0}, {10, 0}, {100, 0}, {0, 10}, {0, 100}, {0, 1000}, {100, 100}} {
		b.Run(fmt.Sprintf("models=%d/teams=%d", size.models, size.teams), func(b *testing.B) {
			benchChange(b, sizedConfiguration(size.models, size.teams))
		})
	}
}

func benchChange(b *testing.B, configuration Configuration) {
	fold := NewFold()
	body, err := logstream.Marshal(Publish{Configuration: configuration})
	if err != nil {
		b.Fatal(err)
	}
	page, err := json.Marshal(infra.Page{Oldest: 1, Next: 2, Records: []infra.Record{{Offset: 1, Data: body}}})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		fold.current = Versioned{}
		var read infra.Page
		if err := json.Unmarshal(page, &read); err != nil {
			b.Fatal(err)
		}
		if err := fold.Apply(logstream.Position{Offset: 1, Time: time.UnixMilli(1)}, KindPublish, read.Records[0].Data); err != nil {
			b.Fatal(err)
		}
	}
	encoded, err := fold.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(page)), "page-bytes")
	b.ReportMetric(float64(len(encoded)), "state-bytes")
}

// BenchmarkValidate measures the validation of one configuration.
func BenchmarkValidate(b *testing.B) {
	configuration := sizedConfiguration(100, 100)
	for b.Loop() {
		if problems := Validate("bench", configuration); len(problems) > 0 {
			b.Fatal(strings.TrimSpace(problems.Error()))
		}
	}
}
