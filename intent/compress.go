package intent

import (
	"bytes"
	"compress/gzip"
	"io"
	"strconv"
)

// gzipMagic is the prefix of every compressed object. JSON cannot start with it.
var gzipMagic = []byte{0x1f, 0x8b}

// maxPlainBytes bounds the size of an object after decompression.
const maxPlainBytes = 8 << 20

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

// decompress returns data unchanged if it is not compressed.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, Faults{{Field: "config", Limit: "must be JSON, compressed or not: " + err.Error()}}
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlainBytes+1))
	switch {
	case err != nil:
		return nil, Faults{{Field: "config", Limit: "must be JSON, compressed or not: " + err.Error()}}
	case len(plain) > maxPlainBytes:
		return nil, Faults{{Field: "config", Limit: "must have at most " + strconv.Itoa(maxPlainBytes) + " bytes after decompression"}}
	}
	return plain, nil
}
