package telemetry

import (
	"io"
	"strings"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// bridge turns the lines of a library's logger into events.
type bridge struct {
	to      log.Interface
	message string
}

// Bridge returns a writer that logs each line written to it as a warning with
// the given message. It serves http.Server.ErrorLog and similar.
func Bridge(to log.Interface, message string) io.Writer { return bridge{to, message} }

// Write implements io.Writer.
func (b bridge) Write(p []byte) (int, error) {
	b.to.WithField("text", strings.TrimSpace(string(p))).Warn(b.message)
	return len(p), nil
}

// BridgeHertz sends hertz's own warnings and errors to the log. It changes
// global state of hertz and must run before any hertz server starts.
func BridgeHertz(to log.Interface) {
	hlog.SetOutput(Bridge(to, "http library"))
	hlog.SetLevel(hlog.LevelWarn)
}
