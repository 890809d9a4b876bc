// Package slowlink is a stand-in for the network link of a VM. It forwards TCP
// connections to a target; all of them share one bandwidth in each direction.
package slowlink

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// chunkBytes is the size of the parts in which connections take turns. It is
	// about that of the windows on a link of 10 Mbit/s.
	chunkBytes = 8 << 10
	// bitsPerByte converts the bandwidth.
	bitsPerByte = 8
)

// Link is the stand-in. Its methods are safe for concurrent use.
type Link struct {
	listener   net.Listener
	target     string
	up, down   *rate.Limiter
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	carried    atomic.Int64 // towards the clients
}

// New returns a link with a bandwidth in bits per second that forwards the
// connections to its address to target, host:port.
func New(target string, bitsPerSecond int) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bandwidth := rate.Limit(bitsPerSecond / bitsPerByte)
	l := &Link{listener: ln, target: target, up: rate.NewLimiter(bandwidth, chunkBytes), down: rate.NewLimiter(bandwidth, chunkBytes)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.goroutines.Go(l.accept)
	return l, nil
}

// Addr returns the address of the link, host:port.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Carried returns the number of bytes that were carried towards the clients. It
// does not depend on the processor time that the clients get, as the time of a
// transfer does.
func (l *Link) Carried() int64 { return l.carried.Load() }

// Close closes the link and its connections.
func (l *Link) Close() {
	l.cancel()
	// The listener is closed only here, so that it cannot be closed already.
	_ = l.listener.Close()
	l.goroutines.Wait()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Go(func() { l.forward(client) })
	}
}

// forward carries both directions of a connection until one side closes it.
func (l *Link) forward(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	closeBoth := func() { _, _ = client.Close(), server.Close() }
	defer context.AfterFunc(l.ctx, closeBoth)()
	l.goroutines.Go(func() { defer closeBoth(); l.carry(server, client, l.up, nil) })
	defer closeBoth()
	l.carry(client, server, l.down, &l.carried)
}

// carry copies one direction until it ends. It counts the bytes unless carried is
// nil.
func (l *Link) carry(dst io.Writer, src io.Reader, bandwidth *rate.Limiter, carried *atomic.Int64) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && bandwidth.WaitN(l.ctx, n) != nil {
			return
		}
		if carried != nil {
			carried.Add(int64(n))
		}
		if _, writeErr := dst.Write(buf[:n]); errors.Join(err, writeErr) != nil {
			return
		}
	}
}
