package infra

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

const (
	pathVMs         = "/vms"
	queryDataCentre = "data_centre"
	vmListTimeout   = 5 * time.Second
)

// HTTPVMList is a client of the VM list for one data centre that uses JSON over
// HTTP. It implements VMList. It sends the last entity tag, so the platform
// returns the list only if it has changed.
type HTTPVMList struct {
	client     *resty.Client
	dataCentre fleet.DataCentre

	mu        sync.Mutex
	entityTag string
	lastVMs   []fleet.VM
}

// NewHTTPVMList returns a client of the VM list at baseURL.
func NewHTTPVMList(baseURL string, dataCentre fleet.DataCentre) *HTTPVMList {
	return &HTTPVMList{client: resty.New().SetBaseURL(baseURL).SetTimeout(vmListTimeout), dataCentre: dataCentre}
}

// CountBytes makes counter count the bytes of the client's connections. It must be
// called before the first request.
func (l *HTTPVMList) CountBytes(counter *traffic.Counter) *HTTPVMList {
	return l.ConnectWith(traffic.NewDialer(dialTimeout, counter).DialContext)
}

// ConnectWith makes the client connect with dial. It must be called before the first
// request.
func (l *HTTPVMList) ConnectWith(dial delivery.Dial) *HTTPVMList {
	l.client.SetTransport(newTransport(dial))
	return l
}

// VMs implements VMList.
func (l *HTTPVMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var answer VMListResponse
	request := l.client.R().SetContext(ctx).SetQueryParam(queryDataCentre, string(l.dataCentre)).SetResult(&answer)
	if l.entityTag != "" {
		request.SetHeader("If-None-Match", l.entityTag)
	}
	response, err := request.Get(pathVMs)
	if err != nil {
		return nil, &UnavailableError{Operation: "list VMs", Err: merry.Wrap(err)}
	}
	if response.StatusCode() == http.StatusNotModified {
		return l.lastVMs, nil
	}
	if !response.IsSuccess() {
		return nil, &UnavailableError{Operation: "list VMs", Err: statusError(response.StatusCode())}
	}
	l.entityTag = response.Header().Get("ETag")
	l.lastVMs = answer.VMs
	return l.lastVMs, nil
}
