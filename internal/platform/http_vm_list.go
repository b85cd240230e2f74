package platform

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	pathVMs       = "/vms"
	vmListTimeout = 5 * time.Second
)

// HTTPVMList reads the list of VMs over HTTP and JSON.
type HTTPVMList struct {
	client *resty.Client
}

// NewHTTPVMList returns a client of the VM list at baseURL.
func NewHTTPVMList(baseURL string) *HTTPVMList {
	return &HTTPVMList{client: resty.New().SetBaseURL(baseURL).SetTimeout(vmListTimeout)}
}

// VMs implements VMList.
func (l *HTTPVMList) VMs(ctx context.Context) ([]fleet.VM, error) {
	var answer VMListAnswer
	response, err := l.client.R().SetContext(ctx).SetResult(&answer).Get(pathVMs)
	if err != nil {
		return nil, &UnavailableError{Operation: "list VMs", Err: err}
	}
	if !response.IsSuccess() {
		return nil, &UnavailableError{Operation: "list VMs", Err: statusError(response.StatusCode())}
	}
	return answer.VMs, nil
}
