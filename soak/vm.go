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
	// reportEvery is the interval of status reports, as on the users' sites.
	reportEvery = 500 * time.Millisecond
	// grace is between the signal to stop and the kill; part of the settings.
	grace = 6 * time.Second
	slots = 8
	// workTime is how long a request runs.
	workTime = 25 * time.Millisecond
	// startAgain is the pause before a process that ended is started again.
	startAgain = 200 * time.Millisecond
)

// bounds are the figures of the settings of every node.
var bounds = wire.Bounds{
	DrainTime: drain, GraceTime: grace, ReportInterval: reportEvery, RetryWindow: budgetWindow, RetryRatio: budgetRatio, MinRetries: budgetFloor,
}

// vm is a node's process with the backend server beside it and the links that
// lead to the node.
type vm struct {
	run     *run
	name    string
	service string
	ip, via string
	file    string
	out     *os.File

	inbound, calls, store *link
	beacons               *datagrams
	server                *keyed.Server
	lives                 int

	// proc is the present process; the supervisor replaces it.
	proc     atomic.Pointer[os.Process]
	stopping atomic.Bool
	// down is when the process was last not running, in nanoseconds of the run.
	down atomic.Int64
	over sync.WaitGroup
}

func host(net, i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 2*(pid/250%120)+net, i+1)
}

func newVM(r *run, i int, service string) (*vm, error) {
	v := &vm{run: r, name: fmt.Sprintf("node-%d", i), service: service, ip: host(0, i), via: host(1, i)}
	v.file = filepath.Join(r.opts.Dir, v.name+".conf")
	zone := string(rune('a' + i%3))
	text := wire.VM{Node: v.name, DataCentre: zone, IP: v.ip, Service: service, Store: v.via}.EncodeSettings(bounds)
	if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
		return nil, fault("write settings", err)
	}
	var err error
	if v.out, err = os.Create(filepath.Join(r.opts.Dir, v.name+".log")); err != nil {
		return nil, fault("create a log", err)
	}
	at := func(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }
	if v.inbound, err = newLink(at(v.via, wire.PortInbound), at(v.ip, wire.PortInbound)); err != nil {
		return nil, err
	}
	if v.calls, err = newLink(at(v.via, wire.PortPeers), at(v.ip, wire.PortPeers)); err != nil {
		return nil, err
	}
	if v.store, err = newLink(at(v.via, wire.PortStore), r.store.Addr()); err != nil {
		return nil, err
	}
	if v.beacons, err = newDatagrams(at(v.via, wire.PortPeers), at(v.ip, wire.PortPeers), &r.muted); err != nil {
		return nil, err
	}
	v.over.Go(v.supervise)
	return v, v.serve()
}

// serve starts a new run of the backend server.
func (v *vm) serve() error {
	v.lives++
	name := fmt.Sprintf("%s-%d", v.name, v.lives)
	s, err := keyed.Start(v.ip+":"+strconv.Itoa(wire.PortBackend), keyed.Config{
		Service: v.service, Instance: name, ReportAddress: v.ip + ":" + strconv.Itoa(wire.PortReports), Sharded: v.service == keyedService,
		Slots: slots, ServiceTime: workTime, ReportInterval: reportEvery, Observer: observer{v.run, v.service},
	})
	if err != nil {
		return fault("start a backend server", err)
	}
	v.server = s
	return nil
}

// crash ends the backend server and starts the next run.
func (v *vm) crash() error {
	name := fmt.Sprintf("%s-%d", v.name, v.lives)
	v.server.Crash()
	v.run.record(Gone{name})
	return v.serve()
}

// supervise starts the process again whenever it ends, as the platform does.
func (v *vm) supervise() {
	for !v.stopping.Load() {
		cmd := exec.Command(v.run.opts.Binary, "sidecar", "--advertise", v.via)
		cmd.Env = []string{wire.SettingsVariable + "=" + v.file}
		cmd.Stdout, cmd.Stderr = v.out, v.out
		if err := cmd.Start(); err != nil {
			v.run.fail(fault("start a process", err))
			return
		}
		v.proc.Store(cmd.Process)
		err := cmd.Wait()
		v.down.Store(int64(v.run.now()))
		if v.stopping.Load() {
			return
		}
		if code := cmd.ProcessState.ExitCode(); code > 0 {
			v.run.record(Crashed{v.run.now(), v.name, err.Error()})
		}
		select {
		case <-time.After(startAgain):
		case <-v.run.ctx.Done():
		}
	}
}

// signal sends a signal to the present process.
func (v *vm) signal(s syscall.Signal) {
	if p := v.proc.Load(); p != nil {
		// A process that ended meanwhile is being started again.
		_ = p.Signal(s)
	}
}

// close ends the process and everything beside it.
func (v *vm) close() {
	v.stopping.Store(true)
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	timer := time.AfterFunc(grace, func() { v.signal(syscall.SIGKILL) })
	v.over.Wait()
	timer.Stop()
	v.server.Crash()
	for _, l := range []*link{v.inbound, v.calls, v.store} {
		l.close()
	}
	v.beacons.close()
	_ = v.out.Close()
}

// addr returns the address without the port.
func (v *vm) addr() netip.Addr { return netip.MustParseAddr(v.ip) }
