package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	"marjoramshore.example/standin/loopback"
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
	// addressFreeTime is how long the address of an ended backend server may stay
	// in use: a child process that was forked has a copy of its listener until it
	// executes its program.
	addressFreeTime = 5 * time.Second
	// maxParallelNodes is the number of nodes up to which each process may use
	// all processors.
	maxParallelNodes = 20
	// memoryInterval is the interval of the checks of memory.
	memoryInterval = 500 * time.Millisecond
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
	ip, proxyIP  string // the links listen on proxyIP
	settingsFile string
	logFile      *os.File

	storeLink *link
	// inboundLink, peerLink and beacons are nil in a run without faults, whose
	// nodes reach each other without them.
	inboundLink, peerLink *link
	beacons               *beaconRelay
	// server is the latest backend server; restartServer replaces it.
	server       atomic.Pointer[keyed.Server]
	serverStarts int // number of instances so far
	// serverTurn holds a token while the backend server is replaced, because the
	// ends of two steps may coincide.
	serverTurn chan struct{}

	// process is the latest process of the node; supervise replaces it.
	process  atomic.Pointer[os.Process]
	stopping atomic.Bool
	// lastExit is when the process last exited, in nanoseconds since the start
	// of the run.
	lastExit   atomic.Int64
	supervisor sync.WaitGroup
	// rateLimit is the limit that the backend server names, or 0.
	rateLimit float64
}

// newVM writes the settings of a node and starts its links, its process and its
// backend server.
func newVM(r *run, index int, service string) (*vm, error) {
	v := &vm{run: r, serverTurn: make(chan struct{}, 1), name: fmt.Sprintf("node-%d", index), service: service, ip: loopback.IP(0, r.opts.FirstAddress+index), proxyIP: loopback.IP(1, r.opts.FirstAddress+index)}
	if index == r.opts.Shape.Nodes()-1 {
		v.rateLimit = r.opts.Shape.RateLimit
	}
	v.settingsFile = filepath.Join(r.opts.Dir, v.name+".conf")
	dataCentre := string(rune('a' + index%3))
	grants := ""
	if r.opts.Shape.GrantByCall {
		grants = "direct"
	}
	settings := wire.VM{Node: v.name, DataCentre: dataCentre, IP: v.ip, Service: service, Store: v.proxyIP, Grants: grants}.EncodeSettings(settingsBounds)
	if err := os.WriteFile(v.settingsFile, []byte(settings), 0o600); err != nil {
		return nil, wrapError("write the settings file of a node", err)
	}
	var err error
	if v.logFile, err = os.Create(filepath.Join(r.opts.Dir, v.name+".log")); err != nil {
		return nil, wrapError("create the log file of a node", err)
	}
	hostPort := func(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }
	if v.storeLink, err = newLink(hostPort(v.proxyIP, wire.PortStore), r.store.Addr()); err != nil {
		return nil, err
	}
	if !r.opts.Shape.onlyPlanned() {
		if v.inboundLink, err = newLink(hostPort(v.proxyIP, wire.PortInbound), hostPort(v.ip, wire.PortInbound)); err != nil {
			return nil, err
		}
		if v.peerLink, err = newLink(hostPort(v.proxyIP, wire.PortPeers), hostPort(v.ip, wire.PortPeers)); err != nil {
			return nil, err
		}
		if v.beacons, err = newBeaconRelay(hostPort(v.proxyIP, wire.PortPeers), hostPort(v.ip, wire.PortPeers), &r.mutedHosts); err != nil {
			return nil, err
		}
	}
	v.supervisor.Go(v.supervise)
	if r.opts.Shape.Slow {
		v.startThrottle(r.ctx)
	}
	return v, v.startServer()
}

// startServer starts the next instance of the backend server.
func (v *vm) startServer() error {
	v.serverStarts++
	name := fmt.Sprintf("%s-%d", v.name, v.serverStarts)
	address, cfg := v.ip+":"+strconv.Itoa(wire.PortBackend), keyed.Config{
		Service: v.service, Instance: name, ReportAddress: v.ip + ":" + strconv.Itoa(wire.PortReports), Sharded: v.service == keyedService,
		Slots: serverSlots, ServiceTime: workTime, ReportInterval: reportInterval, Observer: observer{v.run, v.service},
		RateLimit: v.rateLimit, GrantedByCall: v.run.opts.Shape.GrantByCall,
	}
	if v.rateLimit > 0 {
		v.run.record(ServerLimit{name, v.rateLimit})
	}
	server, err := keyed.Start(address, cfg)
	for end := v.run.elapsed() + addressFreeTime; errors.Is(err, syscall.EADDRINUSE) && v.run.elapsed() < end && v.run.sleep(v.run.ctx, pollInterval); {
		server, err = keyed.Start(address, cfg)
	}
	if err != nil {
		return wrapError("start a backend server", err)
	}
	if cfg.GrantedByCall {
		server.SetCallFaults(keyed.CallFaults{Every: unansweredCallOneIn, Late: callDelay})
	}
	v.server.Store(server)
	return nil
}

// restartServer ends the backend server at once and starts its next instance.
func (v *vm) restartServer() error {
	v.serverTurn <- struct{}{}
	defer func() { <-v.serverTurn }()
	v.server.Load().Crash()
	return v.startServer()
}

// supervise starts the process, and again whenever it exits, as the platform
// does.
func (v *vm) supervise() {
	for !v.stopping.Load() {
		cmd := exec.Command(v.run.opts.Binary, "sidecar", "--advertise", v.advertisedIP())
		cmd.Env = []string{wire.SettingsVariable + "=" + v.settingsFile}
		if shape := v.run.opts.Shape; shape.Slow || shape.Nodes() > maxParallelNodes {
			cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
		}
		cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
		if err := cmd.Start(); err != nil {
			v.run.fail(wrapError("start the process of a node", err))
			return
		}
		v.process.Store(cmd.Process)
		err := cmd.Wait()
		v.lastExit.Store(int64(v.run.elapsed()))
		v.run.record(NodeExit{v.run.elapsed()})
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
	v.server.Load().Crash()
	v.storeLink.close()
	if v.inboundLink != nil {
		v.inboundLink.close()
		v.peerLink.close()
		v.beacons.close()
	}
	_ = v.logFile.Close()
}

// advertisedIP returns the address at which other nodes reach the node.
func (v *vm) advertisedIP() string {
	if v.run.opts.Shape.onlyPlanned() {
		return v.ip
	}
	return v.proxyIP
}

// checkMemory records a failure of each process that uses more memory than its
// settings allow, until the end of the run.
func (r *run) checkMemory(ctx context.Context) {
	reported := map[*os.Process]bool{}
	for r.sleep(ctx, memoryInterval) {
		for _, v := range r.vms {
			process := v.process.Load()
			if process == nil || reported[process] {
				continue
			}
			used := residentMB(process.Pid)
			r.maxMemoryMB = max(r.maxMemoryMB, used)
			if used > wire.MemoryLimitMB {
				reported[process] = true
				r.record(ProcessFailure{r.elapsed(), v.name, fmt.Sprintf("uses %d MB of memory, %d are allowed", used, wire.MemoryLimitMB)})
			}
		}
	}
}

// residentMB returns the resident memory of a process in MB, or 0 if it has
// exited.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if n, _ := fmt.Sscan(string(data), &size, &resident); n < 2 {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

const (
	// A throttled process runs for at most maxRunTurn, and is then stopped for
	// at most maxStopTurn.
	maxRunTurn  = 10 * time.Millisecond
	maxStopTurn = 60 * time.Millisecond
)

// startThrottle gives the process of the node processor time in short turns of
// random length until ctx ends.
func (v *vm) startThrottle(ctx context.Context) {
	v.run.scheduledTurns.Go(func() {
		for v.run.sleep(ctx, rand.N(maxRunTurn)) {
			v.signal(syscall.SIGSTOP)
			goesOn := v.run.sleep(ctx, rand.N(maxStopTurn))
			v.signal(syscall.SIGCONT)
			if !goesOn {
				return
			}
		}
	})
}

// addr returns the IP address from which the node sends.
func (v *vm) addr() netip.Addr { return netip.MustParseAddr(v.ip) }
