package fakes

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

const operatorsTopic = "keyed.op"

// operatorsRecord writes the newest value of a key of the operators' topic.
func (p *WirePlatform) operatorsRecord(w http.ResponseWriter, r *http.Request) {
	page, err := p.store.Log.Newest(r.Context(), operatorsTopic, "")
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	for _, record := range page.Records {
		if record.Key == r.PathValue("key") {
			_, _ = w.Write(record.Value)
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

// writeOperatorsRecord writes the body as the value of a key.
func (p *WirePlatform) writeOperatorsRecord(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil || len(value) == 0 { // an empty value would be a deletion
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.putOperatorsRecord(w, r, value)
}

func (p *WirePlatform) deleteOperatorsRecord(w http.ResponseWriter, r *http.Request) {
	p.putOperatorsRecord(w, r, nil)
}

// putOperatorsRecord writes the time just before the change as the answer, in Unix milliseconds: an
// earlier time never makes the period between two changes easier to meet.
func (p *WirePlatform) putOperatorsRecord(w http.ResponseWriter, r *http.Request, value []byte) {
	before := time.Now()
	if err := p.store.Log.Put(r.Context(), operatorsTopic, keyed.Record{Key: r.PathValue("key"), Value: value}); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, before.UnixMilli())
}
