// Package endless stands in for a faulty backend server whose answers have no end,
// and measures what their reader keeps of them.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"time"
)

// Listen starts a server that answers each request with start and then part after
// part, until the connection is closed. stop ends it.
func Listen(start, part string) (address string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answer(c, start, part)
		}
	}()
	return ln.Addr().String(), func() { _ = ln.Close() }, nil
}

func answer(c net.Conn, start, part string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, err = io.WriteString(c, start)
	for err == nil {
		_, err = io.WriteString(c, part)
	}
}

// sampleInterval is the interval at which PeakHeap reads the size of the heap.
const sampleInterval = time.Millisecond

// PeakHeap returns by how many bytes the objects on the heap, garbage that is not
// swept yet included, grow at most while f runs.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	base, peak := heapBytes(), uint64(0)
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			peak = max(peak, heapBytes())
			select {
			case <-done:
				return
			case <-t.C:
			}
		}
	}()
	f()
	close(done)
	<-sampled
	return max(peak, base) - base
}

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
