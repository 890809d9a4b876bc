package configsync

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// Guards against a configuration that members receive incomplete.
func TestPack(t *testing.T) {
	c := intent.Config{Revision: 7, History: []intent.Entry{{Revision: 7}}}
	for i := range 60 {
		c.Declaration.Services = append(c.Declaration.Services, intent.Service{Name: core.Service(fmt.Sprintf("service-%d", i)), Groups: 6, Slots: 17})
	}
	b, err := Pack(c)
	must.NoError(t, err)
	got, err := Unpack(b)
	must.NoError(t, err)
	must.Eq(t, c.Revision, got.Revision)
	must.Eq(t, c.Declaration, got.Declaration)
}

// Guards against a member that is made to hold more than the store allows.
func TestUnpackIsBounded(t *testing.T) {
	var big bytes.Buffer
	w := gzip.NewWriter(&big)
	_, _ = w.Write(bytes.Repeat([]byte(" "), 2*maxUnpacked))
	must.NoError(t, w.Close())
	_, err := Unpack(big.Bytes())
	must.Eq(t, core.CodeTooLarge, core.CodeOf(err))
}

// Guards against a panic from bytes of a peer.
func FuzzUnpack(f *testing.F) {
	b, _ := Pack(intent.Config{Revision: 1})
	f.Add(b)
	f.Add([]byte{0x1f, 0x8b})
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = Unpack(b) })
}
