package eventer

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
)

// bridge carries go-zero's log lines into hclog.
type logxWriter struct {
	logs hclog.Logger
}

var _ logx.Writer = (*logxWriter)(nil)

func (b *logxWriter) write(level hclog.Level, v any, fields []logx.LogField) {
	pairs := []any{"event", LibraryMessage.Number, "note", fmt.Sprint(v)}
	for _, f := range fields {
		pairs = append(pairs, f.Key, fmt.Sprint(f.Value))
	}
	b.logs.Log(level, LibraryMessage.Text, pairs...)
}

// Alert logs an error.
func (b *logxWriter) Alert(v any) { b.write(hclog.Error, v, nil) }

// Close does nothing.
func (b *logxWriter) Close() error { return nil }

// Debug logs at debug level.
func (b *logxWriter) Debug(v any, fields ...logx.LogField) { b.write(hclog.Debug, v, fields) }

// Error logs at debug level: go-zero's client notes each answer from 400 on, of which its callers log what matters.
func (b *logxWriter) Error(v any, fields ...logx.LogField) { b.write(hclog.Debug, v, fields) }

// Info logs at debug level: go-zero's notes are of no interest to operators.
func (b *logxWriter) Info(v any, fields ...logx.LogField) { b.write(hclog.Debug, v, fields) }

// Severe logs an error.
func (b *logxWriter) Severe(v any) { b.write(hclog.Error, v, nil) }

// Slow logs at debug level.
func (b *logxWriter) Slow(v any, fields ...logx.LogField) { b.write(hclog.Debug, v, fields) }

// Stack logs an error.
func (b *logxWriter) Stack(v any) { b.write(hclog.Error, v, nil) }

// Stat logs at debug level.
func (b *logxWriter) Stat(v any, fields ...logx.LogField) { b.write(hclog.Debug, v, fields) }
