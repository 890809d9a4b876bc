//go:build crowd

package crowd

import (
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/wire"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 200
	// connectCrowd is that of a crowd that only connects. It exceeds the descriptors
	// of a process.
	connectCrowd = 1000
	// sendTimeout bounds the time for which a client sends.
	sendTimeout = 15 * time.Second
)

// connections is the number of connections of each crowd, or 0 for those that CI uses.
var connections = flag.Int("connections", 0, "connections of each crowd")

// part is a text that a client sends a number of times.
type part struct {
	text  string
	times int
}

// class is a kind of client.
type class struct {
	name string
	// port is the port of the node to which the clients connect.
	port int
	size int
	// parts returns what a client sends.
	parts func(seed int) []part
}

const head = "POST /sheet/%d HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderAttemptID + ": crowd-%d\r\n"

func requestHead(seed int) string { return fmt.Sprintf(head, seed, seed) }

func chunked(seed int) part {
	return part{requestHead(seed) + "Transfer-Encoding: chunked\r\n\r\n", 1}
}

// sized returns a body of that many bytes without its last ones, and its head.
func sized(seed, length int) []part {
	const piece = 16 << 10
	return []part{
		{requestHead(seed) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length), 1},
		{strings.Repeat("x", piece), length/piece - 1},
	}
}

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// endless is a number of repetitions after which a client counts as one without end.
const endless = 20_000

var classes = []class{
	{"head of many lines", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{{requestHead(s), 1}, {"X-Fill: " + strings.Repeat("x", 100) + "\r\n", endless}}
	}},
	{"head of one line", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{{requestHead(s) + "X-Fill: ", 1}, {strings.Repeat("x", 1000), endless / 4}}
	}},
	{"head just below the limit", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{{requestHead(s), 1}, {"X-Fill: " + strings.Repeat("x", 1000) + "\r\n", 14}}
	}},
	{"empty lines", wire.PortOutbound, crowdSize, func(int) []part { return []part{{strings.Repeat("\r\n", 500), endless / 4}} }},
	{"body of 500 KB", wire.PortOutbound, crowdSize, func(s int) []part { return sized(s, 500<<10) }},
	{"body of 4 MB", wire.PortOutbound, crowdSize, func(s int) []part { return sized(s, 4<<20) }},
	{"body of 40 MB", wire.PortOutbound, crowdSize / 4, func(s int) []part { return sized(s, 40<<20) }},
	{"chunks of 64 KB", wire.PortOutbound, crowdSize, func(s int) []part { return []part{chunked(s), {chunk(64 << 10), 64}} }},
	{"chunks of 300 bytes", wire.PortOutbound, crowdSize, func(s int) []part { return []part{chunked(s), {chunk(300), endless / 5}} }},
	{"chunks of one byte", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{chunked(s), {strings.Repeat(chunk(1), 100), endless / 5}}
	}},
	{"chunk extension", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{chunked(s), {"5;x=", 1}, {strings.Repeat("x", 1000), endless / 4}}
	}},
	{"trailers", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{chunked(s), {"0\r\n", 1}, {"X-Fill: " + strings.Repeat("x", 100) + "\r\n", endless}}
	}},
	{"body of 500 KB between nodes", wire.PortInbound, crowdSize, func(s int) []part { return sized(s, 500<<10) }},
	{"status report", wire.PortReports, crowdSize, func(int) []part {
		return []part{{"POST /instances/i-1/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n", 1}, {strings.Repeat("x", 1000), 59}}
	}},
	{"calls between nodes", wire.PortPeers, crowdSize, func(int) []part {
		return []part{{"POST /marjoramshore.peers.v1.Peers/Report HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 1000000\r\n\r\n", 1}, {strings.Repeat("x", 1000), 999}}
	}},
	{"requests behind a slow one", wire.PortOutbound, crowdSize, func(s int) []part {
		const look = "GET /look/%d HTTP/1.1\r\nHost: " + host + "\r\n" + wire.HeaderAttemptID + ": crowd-%d-%d\r\n\r\n"
		parts := append(sized(s, 64<<10), part{strings.Repeat("x", 16<<10), 1})
		for i := range 30 {
			parts = append(parts, part{fmt.Sprintf(look, i, s, i), 1})
		}
		return parts
	}},
	{"head that HTTP forbids", wire.PortOutbound, crowdSize, func(s int) []part {
		return []part{{"GET a: HTTP/1.1\r\n\r\n", 1}, {requestHead(s) + "a\x00b: x\r\n\r\n", 1000}}
	}},
	{"connections", wire.PortOutbound, connectCrowd, func(int) []part { return nil }},
	{"connections between nodes", wire.PortInbound, connectCrowd, func(int) []part { return nil }},
	{"connections for reports", wire.PortReports, connectCrowd, func(int) []part { return nil }},
}

// Guards against clients that end a process: it keeps what they send, or their
// connections, until it runs out of memory or descriptors, and the requests of all
// others end with it. Two nodes have a crowd each, which stays connected.
func TestCrowds(t *testing.T) {
	for _, c := range classes {
		t.Run(c.name, func(t *testing.T) {
			if *connections > 0 {
				c.size = *connections / 2
			}
			f := startFleet(t)
			var clients sync.WaitGroup
			conns := make([]net.Conn, 0, 2*c.size)
			for i := range c.size {
				for _, n := range f.nodes {
					conn, err := net.DialTimeout("tcp", n.address(c.port), time.Second)
					if err != nil {
						continue // the node is free to refuse it
					}
					conns = append(conns, conn)
					_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
					clients.Go((&client{conn, c, i}).run)
				}
			}
			clients.Wait()
			for i := range f.nodes {
				f.mustServe(i)
			}
			f.check()
			for _, conn := range conns {
				_ = conn.Close()
			}
			must.Positive(t, len(conns))
			for i := range f.nodes {
				f.mustServe(i)
			}
			f.check()
		})
	}
}

// Guards against limits that a single client inside the limits of the configuration
// meets: a long upload, a head and a body in the smallest pieces.
func TestSingleRequestsInsideTheLimits(t *testing.T) {
	f := startFleet(t)
	for name, parts := range map[string][]part{
		"40 MB":            append(sized(1, 40<<20), part{strings.Repeat("x", 16<<10), 1}),
		"chunks of 64 KB":  {chunked(2), {chunk(64 << 10), 160}, {"0\r\n\r\n", 1}},
		"chunks of a byte": {chunked(3), {strings.Repeat(chunk(1), 100), 2000}, {"0\r\n\r\n", 1}},
		"long head":        {{requestHead(4), 1}, {"X-Fill: " + strings.Repeat("x", 1000) + "\r\n", 14}, {"Content-Length: 0\r\n\r\n", 1}},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.DialTimeout("tcp", f.nodes[0].address(wire.PortOutbound), time.Second)
			must.NoError(t, err)
			defer conn.Close()
			go (&client{conn, class{parts: func(int) []part { return parts }}, 0}).run()
			answer := make([]byte, len("HTTP/1.1 200"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
			_, err = conn.Read(answer)
			must.NoError(t, err)
			must.Eq(t, "HTTP/1.1 200", string(answer))
		})
	}
	f.check()
}
