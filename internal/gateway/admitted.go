package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/locality"
)

// Admitted is a request whose route and team are known and whose body has not
// been read yet.
type Admitted struct {
	BodyLimit int64 // bytes
	incoming  Incoming
	route     *catalog.Route
	service   *catalog.Service
	team      *catalog.Team // nil: none
}

// Request returns the request to forward, with its body and headers.
func (a *Admitted) Request(body []byte, header http.Header) *exchange.Request {
	in := a.incoming
	req := &exchange.Request{
		ID: in.ID, Method: in.Method, Target: in.Target, Host: in.Host, Header: header, Body: body,
		Route: a.route, Service: a.service, Priority: catalog.RequestPriority(a.route, a.team),
		LastEvent: in.LastEvent, Arrived: in.Arrived, Deadline: a.Deadline(),
	}
	var teamRegions []string
	if a.team != nil {
		req.Team = a.team.Name
		teamRegions = a.team.AllowedRegions
	}
	req.Allowed = locality.Both(a.route.AllowedRegions, teamRegions)
	if a.service.Grouped() {
		req.Model = in.Model
		req.PromptTokens = in.PromptTokens
		req.OutputTokens = in.OutputTokens
		req.PromptParts = in.PromptParts
	}
	req.Fingerprint = fingerprint(in, body)
	return req
}

// Deadline returns the time at which neither the caller nor the operators want an answer any more.
func (a *Admitted) Deadline() time.Time { return a.incoming.Arrived.Add(a.timeout()) }

// timeout returns the shorter of the caller's and the route's timeout.
func (a *Admitted) timeout() time.Duration {
	timeout := a.incoming.Timeout
	if timeout <= 0 || a.route.Timeout > 0 && a.route.Timeout < timeout {
		timeout = a.route.Timeout
	}
	return timeout
}

func fingerprint(in Incoming, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(in.Method + " " + in.Host + in.Target + "\n" + in.APIKey + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}
