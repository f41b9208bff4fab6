package eventlogger

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
)

// logxWriter writes go-zero's log lines to an hclog logger.
type logxWriter struct {
	logs hclog.Logger
}

var _ logx.Writer = (*logxWriter)(nil)

func (lw *logxWriter) write(level hclog.Level, v any, fields []logx.LogField) {
	pairs := []any{"event", LibraryMessage.Number, "note", fmt.Sprint(v)}
	for _, f := range fields {
		pairs = append(pairs, f.Key, fmt.Sprint(f.Value))
	}
	lw.logs.Log(level, LibraryMessage.Text, pairs...)
}

// Alert logs at error level.
func (lw *logxWriter) Alert(v any) { lw.write(hclog.Error, v, nil) }

// Close does nothing: the logger is shared with the rest of the process.
func (lw *logxWriter) Close() error { return nil }

// Debug logs at debug level.
func (lw *logxWriter) Debug(v any, fields ...logx.LogField) { lw.write(hclog.Debug, v, fields) }

// Error logs at debug level: go-zero's client logs every response with a status from 400 on, and its callers log the
// relevant ones.
func (lw *logxWriter) Error(v any, fields ...logx.LogField) { lw.write(hclog.Debug, v, fields) }

// Info logs at debug level: go-zero's messages are not relevant to operators.
func (lw *logxWriter) Info(v any, fields ...logx.LogField) { lw.write(hclog.Debug, v, fields) }

// Severe logs at error level.
func (lw *logxWriter) Severe(v any) { lw.write(hclog.Error, v, nil) }

// Slow logs at debug level.
func (lw *logxWriter) Slow(v any, fields ...logx.LogField) { lw.write(hclog.Debug, v, fields) }

// Stack logs at error level.
func (lw *logxWriter) Stack(v any) { lw.write(hclog.Error, v, nil) }

// Stat logs at debug level.
func (lw *logxWriter) Stat(v any, fields ...logx.LogField) { lw.write(hclog.Debug, v, fields) }
