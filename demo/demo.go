package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/load"
	"marjoramshore.example/standin/platform"
)

// Options configures a run of the demo.
type Options struct {
	// Out receives progress lines, the load report and the results of the
	// checks.
	Out io.Writer
	// LoadDuration is how long load is sent. Default 15 s.
	LoadDuration time.Duration
	// WithoutFaults turns off the injected faults.
	WithoutFaults bool
}

// maxDuration ends the demo even when an operation does not return.
const maxDuration = 29 * time.Second

// InvariantError lists the checks that failed.
type InvariantError struct{ Failed []string }

func (e *InvariantError) Error() string { return fmt.Sprintf("invariants violated: %v", e.Failed) }

// Run starts the fleet, sends load, injects faults and checks the invariants.
// It returns *InvariantError when a check failed.
func Run(ctx context.Context, o Options) error {
	if o.LoadDuration <= 0 {
		o.LoadDuration = 15 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	deployments := currentDeployments()
	start := time.Now()
	f, err := startFleet(deployments)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.awaitOwners(ctx); err != nil {
		return err
	}
	calls := f.platform.Calls()
	fmt.Fprintf(o.Out, "%d nodes own their keys after %.1f s; store calls: %d reads, %d writes\n",
		len(f.vms), time.Since(start).Seconds(), calls.Reads(), calls.Writes())
	r := &run{options: o, fleet: f, start: time.Now()}
	r.sendLoad(ctx, deployments)
	return r.checkInvariants(deployments)
}

// run is the state of one run of the demo.
type run struct {
	options      Options
	fleet        *fleet
	start        time.Time
	reports      []load.Report
	errors       []string
	recoveryTime time.Duration
}

func (r *run) sendLoad(ctx context.Context, deployments []deployment) {
	var loads sync.WaitGroup
	reports := make(chan load.Report, 8)
	for _, d := range deployments {
		for _, s := range d.services {
			generator, err := load.New(load.Config{
				Service: s.name, Targets: r.targets(s.name), RequestRate: s.requestRate, Duration: r.options.LoadDuration,
				KeyCount: 20_000, ZipfExponent: 0.99, CustomerCount: 200, Mix: s.mix, RateChanges: []load.RateChange{s.rateChange},
				SendToOwner: s.name == "tile-service", Seed: 7, Workers: 1024,
			})
			if err != nil {
				r.errors = append(r.errors, err.Error())
				continue
			}
			loads.Add(1)
			go func() {
				defer loads.Done()
				rep := generator.Run(ctx, nil)
				for i := range rep.Classes {
					rep.Classes[i].Name = string(s.name) + "/" + rep.Classes[i].Name
				}
				reports <- rep
			}()
		}
	}
	if !r.options.WithoutFaults {
		r.injectFaults(ctx)
	}
	loads.Wait()
	close(reports)
	for rep := range reports {
		r.reports = append(r.reports, rep)
	}
}

// targets returns the caller addresses of a service's nodes, without the first
// two, which the demo may kill or stop: callers of a lost VM switch to another
// one by themselves.
func (r *run) targets(s core.Service) []string {
	var out []string
	for i, v := range r.fleet.running(s) {
		if i > 1 {
			out = append(out, v.node.CallerAddr())
		}
	}
	return out
}

// injectFaults kills a VM, stops a node gracefully, and takes the store down
// for 4 s.
func (r *run) injectFaults(ctx context.Context) {
	killed := r.fleet.running("hintapalvelu")[0]
	key := findOwnedKey(killed)
	if key == "" {
		r.errors = append(r.errors, "the node of the VM to kill owns none of the tried keys")
		return
	}
	if !r.sleep(ctx, 3*time.Second) {
		return
	}
	r.logProgress("a VM of hintapalvelu is killed while its request rate is tripled")
	r.fleet.kill(killed)
	killedAt := time.Now()
	recovered := make(chan time.Duration, 1)
	go func() {
		recovered <- awaitAnswer(ctx, r.fleet.running("hintapalvelu")[3].node.CallerAddr(), "hintapalvelu", key, killedAt)
	}()
	if !r.sleep(ctx, 2*time.Second) {
		return
	}
	r.logProgress("a node of tile-service is stopped gracefully")
	stopping := r.fleet.running("tile-service")[0]
	stop, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	began := time.Now()
	if err := stopping.node.Stop(stop); err != nil {
		r.errors = append(r.errors, "graceful stop: "+err.Error())
	}
	stopping.stopped = true
	r.logProgress(fmt.Sprintf("the node has stopped after %.1f s", time.Since(began).Seconds()))
	r.recoveryTime = <-recovered
	r.logProgress(fmt.Sprintf("a key of the killed VM was served again after %.2f s", r.recoveryTime.Seconds()))
	r.logProgress("the store becomes unavailable for 4 s")
	r.fleet.platform.SetFaults(platform.Faults{Down: true})
	r.sleep(ctx, 4*time.Second)
	r.fleet.platform.SetFaults(platform.Faults{Latency: 2 * time.Millisecond, Jitter: 2 * time.Millisecond})
}

func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) logProgress(text string) {
	fmt.Fprintf(r.options.Out, "%5.1f s  %s\n", time.Since(r.start).Seconds(), text)
}
