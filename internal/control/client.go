package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// requestTimeout is the time limit of one request to a host.
const requestTimeout = 20 * time.Second

// client sends an operator's requests to one host.
type client struct {
	address netip.AddrPort
	key     string
	scheme  string
	http    *http.Client
}

// newClient returns a client that uses TLS if ca is the path of a CA certificate, and plain HTTP if it is empty.
func newClient(address netip.AddrPort, key, ca string) (*client, error) {
	if ca == "" {
		return &client{address: address, key: key, scheme: "http", http: http.DefaultClient}, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, errorx.Decorate(err, "control: unable to read the CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errorx.IllegalArgument.New("control: unable to find a certificate in %s", ca)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &client{address: address, key: key, scheme: "https", http: &http.Client{Transport: transport}}, nil
}

// StatusError reports a host's answer with a status other than 200.
type StatusError struct {
	Status string
	Reason string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("control: unable to complete the request: expected status 200, got %s from the host: %s", e.Status, e.Reason)
}

func do[T any](ctx context.Context, c *client, method, path string, body any) (T, error) {
	var answer T
	data, err := json.Marshal(body)
	if err != nil {
		return answer, errorx.Decorate(err, "control: unable to encode the request")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("%s://%s%s", c.scheme, c.address, path), bytes.NewReader(data))
	if err != nil {
		return answer, errorx.Decorate(err, "control: unable to build the request")
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(r)
	if err != nil {
		return answer, errorx.Decorate(err, "control: unable to reach the host")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return answer, &StatusError{Status: resp.Status, Reason: strings.TrimSpace(string(text))}
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, errorx.Decorate(err, "control: unable to decode the host's answer")
	}
	return answer, nil
}
