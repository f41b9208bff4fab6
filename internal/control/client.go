package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// requestTimeout bounds one request to a host.
const requestTimeout = 20 * time.Second

// client asks one host as an operator.
type client struct {
	address netip.AddrPort
	key     string
}

// StatusError reports a host that refused an operator's request.
type StatusError struct {
	Status string
	Reason string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("control: unable to have the request done: %s: %s", e.Status, e.Reason)
}

func ask[T any](ctx context.Context, c *client, method, path string, body any) (T, error) {
	var answer T
	data, err := json.Marshal(body)
	if err != nil {
		return answer, errorx.Decorate(err, "control: unable to encode the request")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", c.address, path), bytes.NewReader(data))
	if err != nil {
		return answer, errorx.Decorate(err, "control: unable to build the request")
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer, errorx.Decorate(err, "control: unable to reach the host")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return answer, &StatusError{Status: resp.Status, Reason: strings.TrimSpace(string(text))}
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, errorx.Decorate(err, "control: unable to read the answer")
	}
	return answer, nil
}
