package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"marjoramshore.example/admission"
	"marjoramshore.example/core"
	"marjoramshore.example/node"
	"marjoramshore.example/standin/backend"
	"marjoramshore.example/standin/platform"
	"marjoramshore.example/store"
	"marjoramshore.example/storehttp"
)

// dataCentresPerRegion is the number of data centres in each region.
const dataCentresPerRegion = 4

// vm is one backend server with the node beside it.
type vm struct {
	service core.Service
	backend *backend.Server
	node    *node.Node
	stopped bool
}

// fleet holds the store and the VMs of all deployments.
type fleet struct {
	platform *platform.Store
	store    *http.Server
	storeURL string
	vms      []*vm
}

func startFleet(deployments []deployment) (*fleet, error) {
	f := &fleet{platform: platform.New(1)}
	f.platform.SetFaults(platform.Faults{Latency: 2 * time.Millisecond, Jitter: 2 * time.Millisecond})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "demo: listen for the store")
	}
	f.store = &http.Server{Handler: platform.Handler(f.platform), ReadHeaderTimeout: 10 * time.Second}
	f.storeURL = "http://" + ln.Addr().String()
	go func() { _ = f.store.Serve(ln) }()
	for _, d := range deployments {
		if err := f.startDeployment(d); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// startDeployment starts the VMs of a deployment, with one ownership group for
// each service.
func (f *fleet) startDeployment(d deployment) error {
	groupCounts := map[core.Service]uint32{}
	for _, s := range d.services {
		groupCounts[s.name] = 1
	}
	for _, s := range d.services {
		for i := range s.vmCount {
			v, err := f.startVM(d, s, i, groupCounts)
			if err != nil {
				return err
			}
			f.vms = append(f.vms, v)
		}
	}
	return nil
}

// startVM starts VM number index of a service. groupCounts holds the number of
// ownership groups of each service in the deployment.
func (f *fleet) startVM(d deployment, s service, index int, groupCounts map[core.Service]uint32) (*vm, error) {
	cfg := d.backend
	cfg.Service, cfg.Seed = string(s.name), uint64(index)
	b := backend.New(cfg)
	if err := b.Start("127.0.0.1:0"); err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "demo: start backend server")
	}
	client, err := storehttp.New(storehttp.Config{BaseURL: f.storeURL})
	if err != nil {
		b.Close()
		return nil, err
	}
	n, err := node.New(node.Config{
		Node: core.NodeID(fmt.Sprintf("%s-%02d", s.name, index)), Region: d.region,
		DataCentre: core.DataCentre(fmt.Sprintf("%s-%d", d.region, index%dataCentresPerRegion)), Service: s.name,
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", BackendAddress: b.Addr(),
		PeerKey: []byte("demo-key-0123456789abcdef01234567"), Store: client, StoreLimits: store.Config{},
		Admission:   admission.Config{Slots: cfg.Slots, Connections: cfg.MaxConnections, Seed: uint64(index)},
		GroupCounts: groupCounts,
	})
	if err != nil {
		b.Close()
		return nil, err
	}
	n.Start()
	return &vm{service: s.name, backend: b, node: n}, nil
}

// running returns the VMs of a service that were neither killed nor stopped.
func (f *fleet) running(s core.Service) []*vm {
	var out []*vm
	for _, v := range f.vms {
		if v.service == s && !v.stopped {
			out = append(out, v)
		}
	}
	return out
}

// awaitOwners waits until every node owns a part of its service's key space.
func (f *fleet) awaitOwners(ctx context.Context) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		ready := 0
		for _, v := range f.vms {
			if lease := v.node.Lease(); lease != nil && len(lease.OwnRanges) > 0 {
				ready++
			}
		}
		if ready == len(f.vms) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return core.Fail(core.CodeUnavailable, fmt.Sprintf("demo: stopped waiting for owners: only %d of %d nodes own keys", ready, len(f.vms)))
		}
	}
}

// kill ends a VM without warning: its node and its backend server at once.
func (f *fleet) kill(v *vm) {
	v.stopped = true
	v.node.Kill()
	v.backend.Crash()
}

func (f *fleet) close() {
	for _, v := range f.vms {
		if !v.stopped {
			v.node.Kill()
		}
		v.backend.Close()
	}
	_ = f.store.Close()
}
