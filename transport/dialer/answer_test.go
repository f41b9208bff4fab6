package dialer

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requireInvalid checks that both clients report an answer as invalid.
func requireInvalid(t *testing.T, answer string) {
	for name, c := range map[string]*Client{"shared": New("test-invalid-shared", nil), "once": NewAtMostOnce("test-invalid-once", nil)} {
		r, err := Request(t.Context(), http.MethodGet, serveEarly(t, answer, func(*net.TCPConn) {}), nil, 0)
		require.NoError(t, err)
		resp, sent, err := c.Do(r)
		var invalid *InvalidAnswerError
		if assert.ErrorAs(t, err, &invalid, "%s, %q", name, answer) {
			assert.True(t, sent)
			continue
		}
		drain(resp, err)
	}
}

func TestAStatusThatIsNotFinalIsInvalid(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "+20", "-00", "099", "101 Switching Protocols", "600", "999 Failed"} {
		requireInvalid(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nbody")
	}
}

func TestAFieldNameWithABlankIsInvalid(t *testing.T) {
	for _, name := range []string{"X Trace", "X-Trace ", "Content-Length ", "Transfer-Encoding "} {
		requireInvalid(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"+name+": 3\r\n\r\nbody")
	}
}
