package report

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/burn"
	"marjoramshore.example/clock"
)

func snapshot() *burn.Snapshot {
	m := burn.NewMeter(nil)
	now := clock.Instant(time.Hour)
	for range 20 { // a plot needs more than one bar
		now = now.Add(5 * time.Minute)
		m.Record(now, burn.Sample{Service: "raportit", Work: burn.Upload, Customer: "c", OK: false})
	}
	for i := range 60_000 {
		now = now.Add(100 * time.Millisecond)
		s := burn.Sample{Service: "raportit", Work: burn.ShortLookup, Customer: "noisy", Key: "k", OK: true}
		if i%3000 == 0 {
			s.Customer, s.Key, s.OK = "<script>alert(1)</script>\x1b[2J", "key&1", false
		}
		m.Record(now, s)
	}
	return m.Snapshot(now, time.Unix(0, 0))
}

// Guards against a page that loads other resources, includes a caller's text as
// markup, or is not well formed.
func TestHTML(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, HTML(&b, snapshot()))
	out := b.String()
	for _, bad := range []string{"http:", "https:", "src=", "<link", "@import", "url(", "<script", "ZgotmplZ"} {
		must.StrNotContains(t, out, bad)
	}
	for _, want := range []string{"<svg", "<rect", "private outage", "&lt;script", "key&amp;1", "raportit"} {
		must.StrContains(t, out, want)
	}
	d := xml.NewDecoder(strings.NewReader(out))
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := d.Token(); err == io.EOF {
			break
		} else {
			must.NoError(t, err)
		}
	}
	must.NoError(t, HTML(io.Discard, &burn.Snapshot{}))
}

// Guards against a table that omits a private outage or passes control
// characters of a caller's name to the terminal.
func TestText(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, Text(&b, snapshot()))
	must.StrContains(t, b.String(), "private outage")
	must.StrContains(t, b.String(), "upload")
	must.StrNotContains(t, b.String(), "\x1b")
}
