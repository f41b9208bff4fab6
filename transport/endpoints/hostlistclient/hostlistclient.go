// Package hostlistclient is a client of the platform's host list, which lists the endpoints.
package hostlistclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
)

// timeout limits one request to the host list.
const timeout = 2 * time.Second

// maxListingBytes limits the size of one listing.
const maxListingBytes = 4 << 20

// Endpoint is an entry of the host list.
type Endpoint struct {
	Name       string         `json:"name"`
	Pool       string         `json:"pool"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"zone"`
	State      string         `json:"state"`
}

// The states of an endpoint. Putting an endpoint as Gone removes it from the list.
const (
	Live    = "live"
	Leaving = "leaving"
	Gone    = "gone"
)

// Listing is the content of the host list.
type Listing struct {
	Endpoints []Endpoint `json:"endpoints"`
}

// Client reads and changes the host list at one address.
type Client struct {
	address netip.AddrPort
	http    *dialer.Client
}

// New returns a client of the host list at address.
func New(address netip.AddrPort) *Client {
	return &Client{address: address, http: dialer.New("hosts", nil)}
}

// Get reads the host list.
func (c *Client) Get(ctx context.Context) (Listing, error) {
	var l Listing
	resp, err := c.do(ctx, http.MethodGet, nil)
	if err != nil {
		return l, errorx.Decorate(err, "hostlistclient: unable to read the host list")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListingBytes)).Decode(&l); err != nil {
		return l, errorx.Decorate(err, "hostlistclient: unable to read the host list")
	}
	return l, nil
}

// Put adds or changes one entry of the list. Endpoints call it when they start or leave.
func (c *Client) Put(ctx context.Context, e Endpoint) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errorx.Decorate(err, "hostlistclient: unable to change the host list")
	}
	resp, err := c.do(ctx, http.MethodPut, data)
	if err != nil {
		return errorx.Decorate(err, "hostlistclient: unable to change the host list")
	}
	return resp.Body.Close()
}

func (c *Client) do(ctx context.Context, method string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	r, err := dialer.Request(ctx, method, fmt.Sprintf("http://%s/v1/hosts", c.address), bytes.NewReader(body), int64(len(body)))
	if err != nil {
		cancel()
		return nil, err
	}
	resp, _, err := c.http.Do(r)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errorx.ExternalError.New("expected status 200 from the host list, got %s", resp.Status)
	}
	return resp, nil
}

// cancelBody cancels the request's context once the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the request's context.
func (c *cancelBody) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
