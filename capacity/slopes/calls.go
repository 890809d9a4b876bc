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
	// measured is the number of calls over which bytes are averaged.
	measured = 200
	// segment is the payload of a TCP segment on Ethernet, and headers are the
	// IPv4 and TCP headers of one segment. Each is acknowledged.
	segment, headers = 1448, 52
	// callsTimeout bounds the whole measurement.
	callsTimeout = 30 * time.Second
)

// relay forwards one connection to a server and counts its bytes.
type relay struct {
	listener net.Listener
	server   string
	bytes    atomic.Int64
}

// serve accepts one connection and returns when it ends.
func (r *relay) serve() {
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
	go r.copy(out, in)
	r.copy(in, out)
}

func (r *relay) copy(to, from net.Conn) {
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

// echoServer starts a server whose control method returns its payload.
func echoServer() (*transport.Server, *transport.Authenticator, error) {
	auth, err := transport.NewAuthenticator(0, make([]byte, 32))
	if err != nil {
		return nil, nil, err
	}
	server, err := transport.NewServer(transport.ServerConfig{
		Addr: "127.0.0.1:0", Auth: auth,
		Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
			return nil, core.Fail(core.CodeUnavailable, "no exchanges")
		}),
		Calls: map[string]transport.CallFunc{"echo": func(_ context.Context, b []byte) ([]byte, error) { return b, nil }},
	})
	if err == nil {
		server.Start()
	}
	return server, auth, err
}

// calls measures the bytes of one control call over the stream transport
// against its payload, half of which is sent and half returned.
func calls() ([]capacity.Slope, error) {
	server, auth, err := echoServer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	s, err := over(capacity.Slope{Name: "call-bytes", Unit: "bytes", Per: "byte of payload sent and returned"}, []int{0, 256, 4096, 65536},
		func(n int) (float64, error) { return callBytes(auth, server.Addr(), n) })
	return []capacity.Slope{s}, err
}

// connections measures the memory of both ends of an idle connection between
// two nodes: a node holds one to each peer and one from each.
func connections() ([]capacity.Slope, error) {
	server, auth, err := echoServer()
	if err != nil {
		return nil, err
	}
	defer server.Close()
	s, err := over(capacity.Slope{Name: "connection-memory", Unit: "bytes", Per: "peer"}, []int{32, 128, 384},
		func(n int) (float64, error) { return connected(auth, server.Addr(), n) })
	return []capacity.Slope{s}, err
}

// connected returns the memory in use with n connections, less that without.
func connected(auth *transport.Authenticator, server string, n int) (float64, error) {
	before := inUse()
	ctx, cancel := context.WithTimeout(context.Background(), callsTimeout)
	defer cancel()
	// A client opens further connections only under load, so that each
	// connection of this measurement has a client of its own.
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
	return inUse() - before, nil
}

// inUse returns the bytes of heap objects and stacks.
func inUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func callBytes(auth *transport.Authenticator, server string, payload int) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, core.Wrap(core.CodeInternal, err, "relay: listen")
	}
	defer l.Close()
	r := &relay{listener: l, server: server}
	go r.serve()
	client, err := transport.NewClient(transport.ClientConfig{Auth: auth})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callsTimeout)
	defer cancel()
	body, start := make([]byte, payload/2), int64(0)
	for i := range measured + 10 {
		if i == 10 { // the connection is set up and its header tables are filled
			start = r.bytes.Load()
		}
		if _, err := client.Call(ctx, l.Addr().String(), "echo", body); err != nil {
			return 0, err
		}
	}
	return float64(r.bytes.Load()-start)/measured + float64(4*headers*max(1, (len(body)+segment-1)/segment)), nil
}
