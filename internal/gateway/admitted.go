package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
)

// Admitted is a request whose route and team are known, and whose body is still
// to be read.
type Admitted struct {
	BodyLimit int64 // bytes
	incoming  Incoming
	route     *catalog.Route
	service   *catalog.Service
	team      *catalog.Team // nil: none
}

// Request returns the request with its body and the headers to pass on.
func (a *Admitted) Request(body []byte, header http.Header) *exchange.Request {
	in := a.incoming
	req := &exchange.Request{
		ID: in.ID, Method: in.Method, Target: in.Target, Host: in.Host, Header: header, Body: body,
		Route: a.route, Service: a.service, Urgency: catalog.Urgency(a.route, a.team),
		LastEvent: in.LastEvent, Arrived: in.Arrived, Deadline: in.Arrived.Add(a.patience()),
	}
	if a.team != nil {
		req.Team = a.team.Name
	}
	if a.service.Grouped() {
		req.Model = in.Model
		req.Prompt = in.Prompt
	}
	req.Fingerprint = fingerprint(in, body)
	return req
}

// patience is the shorter of the caller's and the route's.
func (a *Admitted) patience() time.Duration {
	patience := a.incoming.Patience
	if patience <= 0 || a.route.Timeout > 0 && a.route.Timeout < patience {
		patience = a.route.Timeout
	}
	return patience
}

func fingerprint(in Incoming, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(in.Method + " " + in.Host + in.Target + "\n" + in.Key + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}
