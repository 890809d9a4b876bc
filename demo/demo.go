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

// Options set up a run.
type Options struct {
	// Out receives the live summary.
	Out io.Writer
	// LoadDuration is how long load is sent; 15 s.
	LoadDuration time.Duration
	// WithoutFaults leaves out the injected faults.
	WithoutFaults bool
}

// limit ends the demo even when something hangs.
const limit = 29 * time.Second

// InvariantError reports which invariants did not hold.
type InvariantError struct{ Failed []string }

func (e *InvariantError) Error() string { return fmt.Sprintf("invariants violated: %v", e.Failed) }

// Run starts the fleet, sends load, injects faults and checks the invariants.
// It returns *InvariantError when one did not hold.
func Run(ctx context.Context, o Options) error {
	if o.LoadDuration <= 0 {
		o.LoadDuration = 15 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	list := deployments()
	start := time.Now()
	f, err := startFleet(list)
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
	r := &run{o: o, f: f, start: time.Now()}
	r.send(ctx, list)
	return r.judge(list)
}

// run is one demo in progress.
type run struct {
	o       Options
	f       *fleet
	start   time.Time
	reports []load.Report
	faults  []string
	regain  time.Duration
}

func (r *run) send(ctx context.Context, list []deployment) {
	var loads sync.WaitGroup
	reports := make(chan load.Report, 8)
	for _, d := range list {
		for _, s := range d.services {
			g, err := load.New(load.Config{
				Service: s.name, Targets: r.targets(s.name), RequestRate: s.rate, Duration: r.o.LoadDuration,
				KeyCount: 20_000, ZipfExponent: 0.99, CustomerCount: 200, Mix: s.mix, RateChanges: []load.RateChange{s.swing},
				SendToOwner: s.name == "tile-service", Seed: 7, Workers: 1024,
			})
			if err != nil {
				r.faults = append(r.faults, err.Error())
				continue
			}
			loads.Add(1)
			go func() {
				defer loads.Done()
				rep := g.Run(ctx, nil)
				for i := range rep.Classes {
					rep.Classes[i].Name = string(s.name) + "/" + rep.Classes[i].Name
				}
				reports <- rep
			}()
		}
	}
	if !r.o.WithoutFaults {
		r.inject(ctx)
	}
	loads.Wait()
	close(reports)
	for rep := range reports {
		r.reports = append(r.reports, rep)
	}
}

// targets are the callers' addresses of a service, without the VM that the
// demo loses: callers of a lost VM go to another one by themselves.
func (r *run) targets(s core.Service) []string {
	var out []string
	for i, v := range r.f.of(s) {
		if i > 1 {
			out = append(out, v.node.CallerAddr())
		}
	}
	return out
}

// inject loses a VM, stops another one, and takes the store down for a while.
func (r *run) inject(ctx context.Context) {
	lost := r.f.of("hintapalvelu")[0]
	key := keyOwnedBy(lost)
	if key == "" {
		r.faults = append(r.faults, "the VM to lose owns no keys")
		return
	}
	if !r.pause(ctx, 3*time.Second) {
		return
	}
	r.say("a VM of hintapalvelu is lost during its demand swing")
	r.f.lose(lost)
	at := time.Now()
	regained := make(chan time.Duration, 1)
	go func() {
		regained <- awaitServed(ctx, r.f.of("hintapalvelu")[3].node.CallerAddr(), "hintapalvelu", key, at)
	}()
	if !r.pause(ctx, 2*time.Second) {
		return
	}
	r.say("a node of tile-service is stopped gracefully")
	stopping := r.f.of("tile-service")[0]
	stop, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	began := time.Now()
	if err := stopping.node.Stop(stop); err != nil {
		r.faults = append(r.faults, "graceful stop: "+err.Error())
	}
	stopping.gone = true
	r.say(fmt.Sprintf("it has stopped after %.1f s", time.Since(began).Seconds()))
	r.regain = <-regained
	r.say(fmt.Sprintf("a key of the lost VM was served again after %.2f s", r.regain.Seconds()))
	r.say("the store is down for 4 s")
	r.f.platform.SetFaults(platform.Faults{Down: true})
	r.pause(ctx, 4*time.Second)
	r.f.platform.SetFaults(platform.Faults{Latency: 2 * time.Millisecond, Jitter: 2 * time.Millisecond})
}

func (r *run) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) say(text string) {
	fmt.Fprintf(r.o.Out, "%5.1f s  %s\n", time.Since(r.start).Seconds(), text)
}
