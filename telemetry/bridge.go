package telemetry

import (
	"io"
	"strings"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// warnWriter logs the output of a library's logger as events.
type warnWriter struct {
	logger  log.Interface
	message string
}

// WarnWriter returns a writer that logs the text of each Write as a warning
// with the given message and the text in a field. It suits http.Server.ErrorLog
// and similar loggers that call Write once for each line.
func WarnWriter(to log.Interface, message string) io.Writer { return warnWriter{to, message} }

// Write implements io.Writer.
func (w warnWriter) Write(p []byte) (int, error) {
	w.logger.WithField("text", strings.TrimSpace(string(p))).Warn(w.message)
	return len(p), nil
}

// RedirectHertzLogs logs hertz's own warnings and errors to logger. It changes
// global state of hertz, so it must be called before any hertz server starts.
func RedirectHertzLogs(logger log.Interface) {
	hlog.SetOutput(WarnWriter(logger, "hertz reported a problem"))
	hlog.SetLevel(hlog.LevelWarn)
}
