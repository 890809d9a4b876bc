package intent

import (
	"bytes"
	"compress/gzip"
	"io"
	"strconv"
)

// gzipMagic starts every compressed object. JSON cannot start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// maxPlain bounds an object after decompression.
const maxPlain = 8 << 20

func compress(plain []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, Faults{{Field: "config", Limit: "must be compressible: " + err.Error()}}
	}
	if err := w.Close(); err != nil {
		return nil, Faults{{Field: "config", Limit: "must be compressible: " + err.Error()}}
	}
	return out.Bytes(), nil
}

func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, Faults{{Field: "config", Limit: "must be JSON, compressed or not: " + err.Error()}}
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlain+1))
	switch {
	case err != nil:
		return nil, Faults{{Field: "config", Limit: "must be JSON, compressed or not: " + err.Error()}}
	case len(plain) > maxPlain:
		return nil, Faults{{Field: "config", Limit: "must have at most " + strconv.Itoa(maxPlain) + " bytes after decompression"}}
	}
	return plain, nil
}
