// Package logclient is a client of the platform's log service, which stores streams of records.
package logclient

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

const (
	// AppendTimeout bounds an append including its answer.
	AppendTimeout = 2 * time.Second
	// ReadWait is how long the log service may delay its answer to a read at the end of a stream (long polling).
	ReadWait = 20 * time.Second
	// readGrace is added to the wait of a read to give its timeout.
	readGrace = 3 * time.Second
	// maxAnswerBytes bounds the size of one answer of the log service.
	maxAnswerBytes = 32 << 20
)

// Record is a stored record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the answer to a read. Oldest is the offset of the first record that is still stored.
type Page struct {
	Records []Record `json:"records"`
	Oldest  uint64   `json:"oldest"`
}

// Appended is the answer to an append.
type Appended struct {
	Offset uint64 `json:"offset"`
}

// NotAppendedError reports an append that did not take effect.
type NotAppendedError struct {
	Stream string
	Reason string
}

func (e *NotAppendedError) Error() string {
	return fmt.Sprintf("logclient: unable to append to %s: %s", e.Stream, e.Reason)
}

// UnknownAppendError reports an append that may have taken effect.
type UnknownAppendError struct {
	Stream string
	Reason string
}

func (e *UnknownAppendError) Error() string {
	return fmt.Sprintf("logclient: unable to confirm that the append to %s took effect: %s", e.Stream, e.Reason)
}

// ExpiredError reports a read of expired records. Oldest is the offset of the first record that is still stored.
type ExpiredError struct {
	Stream string
	Oldest uint64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("logclient: unable to read %s: records before %d have expired", e.Stream, e.Oldest)
}

// Client calls the log service at one address.
type Client struct {
	address netip.AddrPort
	http    *dialer.Client
}

// New returns a client of the log service at address.
func New(address netip.AddrPort) *Client {
	return &Client{address: address, http: dialer.New("log", nil)}
}

func (c *Client) url(stream string) string {
	return fmt.Sprintf("http://%s/v1/streams/%s/records", c.address, stream)
}

// Append adds one record and returns its offset. It does not retry. The error is a *NotAppendedError or an
// *UnknownAppendError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	r, err := dialer.Request(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data), int64(len(data)))
	if err != nil {
		return 0, &NotAppendedError{Stream: stream, Reason: err.Error()}
	}
	resp, sent, err := c.http.Do(r)
	if err != nil && !sent {
		return 0, &NotAppendedError{Stream: stream, Reason: err.Error()}
	}
	if err != nil {
		return 0, &UnknownAppendError{Stream: stream, Reason: err.Error()}
	}
	defer resp.Body.Close()
	return decodeAppended(stream, resp)
}

func decodeAppended(stream string, resp *http.Response) (uint64, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return 0, &NotAppendedError{Stream: stream, Reason: "the log's rate limit is reached"}
	}
	if resp.StatusCode != http.StatusOK {
		return 0, &UnknownAppendError{Stream: stream, Reason: resp.Status}
	}
	var a Appended
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil {
		return 0, &UnknownAppendError{Stream: stream, Reason: err.Error()}
	}
	return a.Offset, nil
}

// Read returns records from offset from on. At the end of the stream it waits up to wait for new records. A read of expired
// records returns an *ExpiredError.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	url := fmt.Sprintf("%s?from=%d&wait=%d", c.url(stream), from, wait.Milliseconds())
	r, err := dialer.Request(ctx, http.MethodGet, url, nil, 0)
	if err != nil {
		return Page{}, errorx.Decorate(err, "logclient: unable to read %s", stream)
	}
	resp, _, err := c.http.Do(r)
	if err != nil {
		return Page{}, errorx.Decorate(err, "logclient: unable to read %s", stream)
	}
	defer resp.Body.Close()
	return decodePage(stream, resp)
}

func decodePage(stream string, resp *http.Response) (Page, error) {
	var page Page
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return page, errorx.ExternalError.New("logclient: unable to read %s: %s", stream, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&page); err != nil {
		return page, errorx.Decorate(err, "logclient: unable to read %s", stream)
	}
	if resp.StatusCode == http.StatusGone {
		return page, &ExpiredError{Stream: stream, Oldest: page.Oldest}
	}
	return page, nil
}
