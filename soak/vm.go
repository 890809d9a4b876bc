package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramshore.example/standin/keyed"
	"marjoramshore.example/standin/wire"
)

const (
	// reportInterval is the interval of the status reports of backend servers,
	// as at the users' sites.
	reportInterval = 500 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL; every node has it in
	// its settings.
	gracePeriod = 6 * time.Second
	// serverSlots is the number of requests that a backend server runs at once.
	serverSlots = 8
	// workTime is how long a backend server executes a request.
	workTime = 25 * time.Millisecond
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 200 * time.Millisecond
)

// settingsBounds are the limits in the settings file of every node.
var settingsBounds = wire.Bounds{
	DrainTime: drainTime, GraceTime: gracePeriod, ReportInterval: reportInterval, RetryWindow: retryBudgetWindow, RetryRatio: retryBudgetRatio, MinRetries: retryBudgetMin,
}

// vm is the process of a node, its backend server, and the links through which
// other nodes reach the node and the node reaches the store.
type vm struct {
	run          *run
	name         string
	service      string
	ip, proxyIP  string // the links listen on proxyIP, which the node advertises
	settingsFile string
	logFile      *os.File

	inboundLink, peerLink, storeLink *link
	beacons                          *beaconRelay
	server                           *keyed.Server
	serverStarts                     int // number of instances so far

	// process is the latest process of the node; supervise replaces it.
	process  atomic.Pointer[os.Process]
	stopping atomic.Bool
	// lastExit is when the process last exited, in nanoseconds since the start
	// of the run.
	lastExit   atomic.Int64
	supervisor sync.WaitGroup
}

// loopbackIP returns an address in 127.0.0.0/8. It depends on the process ID, so
// that concurrent runs on one host use different addresses.
func loopbackIP(subnet, index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 2*(pid/250%120)+subnet, index+1)
}

// newVM writes the settings of a node and starts its links, its process and its
// backend server.
func newVM(r *run, index int, service string) (*vm, error) {
	v := &vm{run: r, name: fmt.Sprintf("node-%d", index), service: service, ip: loopbackIP(0, index), proxyIP: loopbackIP(1, index)}
	v.settingsFile = filepath.Join(r.opts.Dir, v.name+".conf")
	dataCentre := string(rune('a' + index%3))
	settings := wire.VM{Node: v.name, DataCentre: dataCentre, IP: v.ip, Service: service, Store: v.proxyIP}.EncodeSettings(settingsBounds)
	if err := os.WriteFile(v.settingsFile, []byte(settings), 0o600); err != nil {
		return nil, wrapError("write the settings file of a node", err)
	}
	var err error
	if v.logFile, err = os.Create(filepath.Join(r.opts.Dir, v.name+".log")); err != nil {
		return nil, wrapError("create the log file of a node", err)
	}
	hostPort := func(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }
	if v.inboundLink, err = newLink(hostPort(v.proxyIP, wire.PortInbound), hostPort(v.ip, wire.PortInbound)); err != nil {
		return nil, err
	}
	if v.peerLink, err = newLink(hostPort(v.proxyIP, wire.PortPeers), hostPort(v.ip, wire.PortPeers)); err != nil {
		return nil, err
	}
	if v.storeLink, err = newLink(hostPort(v.proxyIP, wire.PortStore), r.store.Addr()); err != nil {
		return nil, err
	}
	if v.beacons, err = newBeaconRelay(hostPort(v.proxyIP, wire.PortPeers), hostPort(v.ip, wire.PortPeers), &r.mutedHosts); err != nil {
		return nil, err
	}
	v.supervisor.Go(v.supervise)
	return v, v.startServer()
}

// startServer starts the next instance of the backend server.
func (v *vm) startServer() error {
	v.serverStarts++
	name := fmt.Sprintf("%s-%d", v.name, v.serverStarts)
	server, err := keyed.Start(v.ip+":"+strconv.Itoa(wire.PortBackend), keyed.Config{
		Service: v.service, Instance: name, ReportAddress: v.ip + ":" + strconv.Itoa(wire.PortReports), Sharded: v.service == keyedService,
		Slots: serverSlots, ServiceTime: workTime, ReportInterval: reportInterval, Observer: observer{v.run, v.service},
	})
	if err != nil {
		return wrapError("start a backend server", err)
	}
	v.server = server
	return nil
}

// restartServer ends the backend server at once and starts its next instance.
func (v *vm) restartServer() error {
	name := fmt.Sprintf("%s-%d", v.name, v.serverStarts)
	v.server.Crash()
	v.run.record(ServerExit{name})
	return v.startServer()
}

// supervise starts the process, and again whenever it exits, as the platform
// does.
func (v *vm) supervise() {
	for !v.stopping.Load() {
		cmd := exec.Command(v.run.opts.Binary, "sidecar", "--advertise", v.proxyIP)
		cmd.Env = []string{wire.SettingsVariable + "=" + v.settingsFile}
		cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
		if err := cmd.Start(); err != nil {
			v.run.fail(wrapError("start the process of a node", err))
			return
		}
		v.process.Store(cmd.Process)
		err := cmd.Wait()
		v.lastExit.Store(int64(v.run.elapsed()))
		if v.stopping.Load() {
			return
		}
		if code := cmd.ProcessState.ExitCode(); code > 0 {
			v.run.record(ProcessFailure{v.run.elapsed(), v.name, err.Error()})
		}
		select {
		case <-time.After(restartDelay):
		case <-v.run.ctx.Done():
		}
	}
}

// signal sends a signal to the process of the node.
func (v *vm) signal(sig syscall.Signal) {
	if process := v.process.Load(); process != nil {
		// The error of a process that has exited is ignored: supervise starts
		// the next one.
		_ = process.Signal(sig)
	}
}

// close stops the process, with SIGKILL after the grace period, then the backend
// server and the links.
func (v *vm) close() {
	v.stopping.Store(true)
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	timer := time.AfterFunc(gracePeriod, func() { v.signal(syscall.SIGKILL) })
	v.supervisor.Wait()
	timer.Stop()
	v.server.Crash()
	for _, l := range []*link{v.inboundLink, v.peerLink, v.storeLink} {
		l.close()
	}
	v.beacons.close()
	_ = v.logFile.Close()
}

// addr returns the IP address from which the node sends.
func (v *vm) addr() netip.Addr { return netip.MustParseAddr(v.ip) }
