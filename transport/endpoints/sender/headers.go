package sender

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to a single connection and must not be forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// dropHopByHop removes the hop-by-hop headers, including those that Connection names.
func dropHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// CopyHeader copies an endpoint's headers to an answer, without the hop-by-hop ones.
func CopyHeader(to, from http.Header) {
	h := from.Clone()
	dropHopByHop(h)
	maps.Copy(to, h)
}
