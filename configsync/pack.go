package configsync

import (
	"bytes"
	"compress/gzip"
	"io"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// maxUnpacked bounds a configuration after decompression; the store takes no
// larger one.
const maxUnpacked = 1 << 20

// Pack returns the form in which a coordinator gives a configuration to its
// members: compressed, and without the history of changes, which the store
// keeps. Ten copies of each change would otherwise exceed the control budget.
func Pack(c intent.Config) ([]byte, error) {
	c.History = nil
	plain, err := intent.Encode(c)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "configuration: compress")
	}
	if err := w.Close(); err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "configuration: compress")
	}
	return out.Bytes(), nil
}

// Unpack reads what Pack returned. Malformed or oversized bytes give an *Error
// with CodeInvalid or CodeTooLarge.
func Unpack(b []byte) (intent.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return intent.Config{}, core.Wrap(core.CodeInvalid, err, "configuration: decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return intent.Config{}, core.Wrap(core.CodeInvalid, err, "configuration: decompress")
	}
	if len(plain) > maxUnpacked {
		return intent.Config{}, core.Fail(core.CodeTooLarge, "configuration: more than 1 MiB")
	}
	return intent.DecodeConfig(plain)
}
