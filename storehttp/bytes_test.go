package storehttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/store"
	"marjoramshore.example/storehttp"
)

// newRawClient returns a client of a store that calls answer for each request.
// answer gets what was sent before on the connection, and returns what it sends
// and whether the connection is kept.
func newRawClient(t *testing.T, answer func(earlier string, w io.Writer) (own string, keep bool)) *storehttp.Client {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for own, keep := "", true; keep; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					own, keep = answer(own, c)
				}
			}()
		}
	}()
	c, err := storehttp.New(storehttp.Config{BaseURL: "http://" + ln.Addr().String(), Timeout: time.Second, WatchWait: time.Second, MaxListBytes: 1 << 20})
	must.NoError(t, err)
	return c
}

func withLength(status int, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func versionBody(version int) string {
	return `{"key":"k","version":` + strconv.Itoa(version) + `,"value":"eA=="}`
}

// Guards against an earlier response, written once more on a kept connection,
// that is taken for the response to the present call.
func TestEarlierResponseRepeatedOnKeptConnection(t *testing.T) {
	responses := make(chan string, 4)
	c := newRawClient(t, func(earlier string, w io.Writer) (string, bool) {
		own := <-responses
		_, _ = io.WriteString(w, earlier+own)
		return own, true
	})
	put := func(response string) (uint64, error) {
		responses <- response
		return c.Put(t.Context(), "k", []byte("x"), 1)
	}
	_, err := put(withLength(503, `{}`))
	must.Eq(t, store.KindUnavailable, asStoreError(t, err).Kind)
	v, err := put(withLength(200, versionBody(2)))
	must.NoError(t, err)
	must.Eq(t, 2, v)
	_, err = put(withLength(412, `{"current":3}`))
	must.Eq(t, store.KindConflict, asStoreError(t, err).Kind)
	v, err = put(withLength(200, versionBody(4)))
	must.NoError(t, err)
	must.Eq(t, 4, v)
}
