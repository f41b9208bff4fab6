package sender

import (
	"encoding/json"
	"mime"
	"net/http"
)

// Framing is what delimits the body of an answer.
type Framing string

// The framings of an answer.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose is the framing of a body that ends with its connection, whole or not.
	FramedByClose Framing = "close"
)

// FramingOf returns the framing of an answer.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

// isCutDocument reports whether a body is a document that cannot end where it does, and nothing else delimits it.
func isCutDocument(resp *http.Response, body []byte) bool {
	if FramingOf(resp) != FramedByClose {
		return false
	}
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "application/json" && !json.Valid(body)
}
