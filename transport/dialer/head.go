package dialer

import (
	"bytes"
	"fmt"
	"net"
)

// maxHeadLines bounds the lines of an answer before its body, those of interim (1xx) answers included. A parsed header field takes many
// times its size in memory.
const maxHeadLines = 256

// HeadError reports an answer with too many header fields or interim answers.
type HeadError struct {
	Lines int
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("dialer: unable to read the answer: more than %d lines before its body", e.Lines)
}

// headConn is a connection for one request that bounds the lines of the answer's head.
type headConn struct {
	net.Conn
	lines int
	// line is the beginning of the current line, without its end.
	line []byte
	// isInterim is set while the head of an interim answer is read, isInHead from its status line on.
	isInterim bool
	isInHead  bool
	isDone    bool
}

// interimPrefixBytes is the length of a status line up to the first digit of the status, as in "HTTP/1.1 1".
const interimPrefixBytes = 10

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.isDone && !c.scan(b[:n]) {
		return 0, &HeadError{Lines: maxHeadLines}
	}
	return n, err
}

// scan counts the lines in the next bytes, and returns false if there are too many.
func (c *headConn) scan(b []byte) bool {
	for len(b) > 0 && !c.isDone {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part, b = b[:end], b[end+1:]
		}
		c.line = append(c.line, part[:min(len(part), interimPrefixBytes-len(c.line))]...)
		if end < 0 {
			return true
		}
		if c.lines++; c.lines > maxHeadLines {
			return false
		}
		c.endLine()
	}
	return true
}

// endLine handles the end of a line of the head.
func (c *headConn) endLine() {
	isEmpty := len(c.line) == 0 || len(c.line) == 1 && c.line[0] == '\r'
	switch {
	case isEmpty && c.isInHead:
		c.isInHead, c.isDone = false, !c.isInterim
	case !isEmpty && !c.isInHead:
		c.isInHead, c.isInterim = true, len(c.line) == interimPrefixBytes && c.line[interimPrefixBytes-1] == '1'
	}
	c.line = c.line[:0]
}
