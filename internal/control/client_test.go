package control

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
)

// certificate returns a self-signed certificate for the loopback address and the path of its file.
func certificate(t *testing.T) (tls.Certificate, string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "ca.pem")
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, path
}

func TestTheToolConnectsToAHostWithTLS(t *testing.T) {
	cert, ca := certificate(t)
	l, err := listener.Listen(listener.Options{
		Name: "operators", Address: netip.MustParseAddrPort("127.0.0.1:0"),
		TLS: &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12},
		Routes: []rest.Route{{Method: http.MethodGet, Path: "/v1/rules", Handler: func(w http.ResponseWriter, _ *http.Request) {
			httpx.OkJson(w, administrator.RuleFile{Version: 7, Text: "text"})
		}}},
	})
	require.NoError(t, err)
	defer l.Close()
	for _, c := range []struct {
		ca   string
		want string
	}{{ca, "text"}, {"", ""}} {
		cmd := Command()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&bytes.Buffer{})
		cmd.SetArgs([]string{"rules", "show", "--key", "k", "--host", l.Address().String(), "--ca", c.ca})
		err := cmd.Execute()
		assert.Equal(t, c.want != "", err == nil)
		assert.Equal(t, c.want, out.String())
	}
}
