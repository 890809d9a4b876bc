package sidecar_test

import (
	"net"
	"runtime"
	"strconv"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"marjoramshore.example/sidecar"
	"marjoramshore.example/standin/wire"
)

// Guards against a node that does not start again because the stop before it
// returned with listeners still open.
func TestStoppedNodeLeavesNoListenerOpen(t *testing.T) {
	f := startFleet(t, "prices")
	settings := f.newSettings(1, "reports")
	metricsAddr := net.JoinHostPort(settings.IP, strconv.Itoa(wire.PortStore))
	n, err := sidecar.New(sidecar.Config{Settings: settings, Log: &log.Logger{Handler: discard.Default}, MetricsAddr: metricsAddr})
	must.NoError(t, err)
	must.NoError(t, n.Start())
	// On one processor, what the stop leaves to other goroutines is not done
	// when it returns.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	n.Stop()
	for name, address := range map[string]string{
		"callers": settings.CallerAddress, "requests of other nodes": settings.InboundAddress,
		"calls of other nodes": net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPeerPort)),
		"readiness checks":     settings.ReadyAddress, "status reports": settings.ReportAddress, "metrics": metricsAddr,
	} {
		ln, err := net.Listen("tcp", address)
		test.NoError(t, err, test.Sprint(name))
		if err == nil {
			must.NoError(t, ln.Close())
		}
	}
}
