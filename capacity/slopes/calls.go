package slopes

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"marjoramshore.example/capacity"
	"marjoramshore.example/core"
	"marjoramshore.example/transport"
)

const (
	// countedCalls is the number of calls over which bytes are averaged.
	countedCalls = 200
	// segmentPayloadBytes is the payload of a TCP segment on Ethernet.
	// segmentHeaderBytes is the size of the IPv4 and TCP headers of one
	// segment, or of its acknowledgement; every segment is acknowledged.
	segmentPayloadBytes, segmentHeaderBytes = 1448, 52
	// measureCallsTimeout bounds all calls of one measured size.
	measureCallsTimeout = 30 * time.Second
)

// countingRelay forwards one connection to a server and counts the bytes in
// both directions.
type countingRelay struct {
	listener net.Listener
	server   string
	bytes    atomic.Int64
}

// serveConnection accepts one connection and returns when it ends.
func (r *countingRelay) serveConnection() {
	in, err := r.listener.Accept()
	if err != nil {
		return
	}
	defer in.Close()
	out, err := net.Dial("tcp", r.server)
	if err != nil {
		return
	}
	defer out.Close()
	go r.forward(out, in)
	r.forward(in, out)
}

func (r *countingRelay) forward(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.bytes.Add(int64(n))
		if err != nil {
			return
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// echoServer starts a server whose only control method returns its payload.
func echoServer() (*transport.Server, *transport.Authenticator, error) {
	auth, err := transport.NewAuthenticator(0, make([]byte, 32))
	if err != nil {
		return nil, nil, err
	}
	server, err := transport.NewServer(transport.ServerConfig{
		Addr: "127.0.0.1:0", Auth: auth,
		Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
			return nil, core.Fail(core.CodeUnavailable, "echo server accepts control calls only")
		}),
		Calls: map[string]transport.CallFunc{"echo": func(_ context.Context, b []byte) ([]byte, error) { return b, nil }},
	})
	if err == nil {
		server.Start()
	}
	return server, auth, err
}

// measureCallBytes measures the bytes on the wire of one control call over the
// stream transport against its payload, half of which is sent and half
// returned.
func measureCallBytes() ([]capacity.Slope, error) {
	server, auth, err := echoServer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	s, err := measureSizes(capacity.Slope{Name: "call-bytes", Unit: "bytes", Per: "byte of payload sent and returned"}, []int{0, 256, 4096, 65536},
		func(n int) (float64, error) { return bytesPerCall(auth, server.Addr(), n) })
	return []capacity.Slope{s}, err
}

// measureConnections measures the memory of both ends of an idle connection.
// Both ends count, because a node holds one connection to each peer and one
// from each.
func measureConnections() ([]capacity.Slope, error) {
	server, auth, err := echoServer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	s, err := measureSizes(capacity.Slope{Name: "connection-memory", Unit: "bytes", Per: "peer"}, []int{32, 128, 384},
		func(n int) (float64, error) { return connectionMemory(auth, server.Addr(), n) })
	return []capacity.Slope{s}, err
}

// connectionMemory returns the bytes of memory that n idle connections add.
func connectionMemory(auth *transport.Authenticator, server string, n int) (float64, error) {
	before := heapAndStackBytes()
	ctx, cancel := context.WithTimeout(context.Background(), measureCallsTimeout)
	defer cancel()
	// A client opens further connections only under load, so each connection of
	// this measurement has its own client.
	for range n {
		client, err := transport.NewClient(transport.ClientConfig{Auth: auth})
		if err != nil {
			return 0, err
		}
		defer client.Close()
		if _, err := client.Call(ctx, server, "echo", nil); err != nil {
			return 0, err
		}
	}
	return heapAndStackBytes() - before, nil
}

// heapAndStackBytes returns the bytes of heap objects and stacks in use.
func heapAndStackBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// bytesPerCall returns the bytes of one call with the given payload, in both
// directions together: those counted by a relay, plus the TCP/IP headers.
func bytesPerCall(auth *transport.Authenticator, server string, payloadBytes int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, core.Wrap(core.CodeInternal, err, "counting relay: listen on loopback")
	}
	defer listener.Close()
	r := &countingRelay{listener: listener, server: server}
	go r.serveConnection()
	client, err := transport.NewClient(transport.ClientConfig{Auth: auth})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), measureCallsTimeout)
	defer cancel()
	body, bytesBefore := make([]byte, payloadBytes/2), int64(0)
	for i := range countedCalls + 10 {
		if i == 10 { // the connection is set up and its header tables are filled
			bytesBefore = r.bytes.Load()
		}
		if _, err := client.Call(ctx, listener.Addr().String(), "echo", body); err != nil {
			return 0, err
		}
	}
	return float64(r.bytes.Load()-bytesBefore)/countedCalls + float64(4*segmentHeaderBytes*max(1, (len(body)+segmentPayloadBytes-1)/segmentPayloadBytes)), nil
}
