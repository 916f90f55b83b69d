package infra

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// VMClient is a client of the platform's list of VMs. It caches the last list of
// each availability zone with its ETag, so that an unchanged list is not sent again.
type VMClient struct {
	baseURL string
	service httpc.Service
	etags   map[string]string
	lists   map[string]VMList
}

// NewVMClient returns a client of the list at the address. It is not safe for
// concurrent use.
func NewVMClient(address netip.AddrPort, timeout time.Duration) *VMClient {
	return &VMClient{
		baseURL: "http://" + address.String(),
		service: httpc.NewServiceWithClient("vms "+address.String(), &http.Client{Timeout: timeout}),
		etags:   make(map[string]string),
		lists:   make(map[string]VMList),
	}
}

// List returns the VMs in an availability zone.
func (v *VMClient) List(ctx context.Context, zone string) (VMList, error) {
	target := v.baseURL + "/v1/vms?zone=" + url.QueryEscape(zone)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return VMList{}, errors.Wrap(err, "list VMs")
	}
	if etag, known := v.etags[zone]; known {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := v.service.DoRequest(request)
	if err != nil {
		return VMList{}, errors.Wrap(err, "list VMs")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		return v.lists[zone], nil
	case http.StatusOK:
	default:
		return VMList{}, errors.Wrap(&StatusError{Status: response.StatusCode}, "list VMs")
	}
	list, err := decodeBody[VMList](response)
	if err != nil {
		return VMList{}, errors.Wrap(err, "list VMs")
	}
	v.etags[zone] = response.Header.Get("ETag")
	v.lists[zone] = list
	return list, nil
}
