package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/core"
	"marjoramshore.example/ring"
)

// Class is one kind of work in the mix.
type Class struct {
	Name string
	// Weight of the requests, relative to the other classes.
	Weight float64
	// Method and Path of the requests.
	Method, Path string
	// Kind is declared to the router when not empty.
	Kind string
	// BodyBytes is the length of the request body; 0 sends none.
	BodyBytes int64
	// Idempotent is declared to the router.
	Idempotent bool
	// AtMostOnce sends an idempotency key and the issue time, and resends the
	// request a few times when the outcome is unknown or it did not run.
	AtMostOnce bool
	// Deadline is declared to the router, and bounds the wait; 0 is 5 s.
	Deadline time.Duration
}

// RateChange multiplies the rate during a part of the run.
type RateChange struct {
	From, To time.Duration
	Factor   float64
}

// Config describes one run.
type Config struct {
	Service core.Service
	// Targets are caller addresses of nodes; requests spread over them.
	Targets []string
	// RequestRate is the mean number of requests a second.
	RequestRate float64
	Duration    time.Duration
	// KeyCount is the number of distinct keys, and Zipf the exponent of their
	// popularity (0 is uniform).
	KeyCount     int
	ZipfExponent float64
	// CustomerCount is the number of distinct customers.
	CustomerCount int
	Mix           []Class
	RateChanges   []RateChange
	// Workers bounds the requests in flight; one that finds none free is
	// counted as dropped. 2048.
	Workers int
	// SendToOwner sends a request for a known key straight to its owner.
	SendToOwner bool
	Seed        uint64
	// Resends bounds the attempts of a Once request after the first; 3.
	Resends int
}

func (c Config) withDefaults() Config {
	if c.Workers <= 0 {
		c.Workers = 2048
	}
	if c.KeyCount <= 0 {
		c.KeyCount = 100_000
	}
	if c.CustomerCount <= 0 {
		c.CustomerCount = 100
	}
	if c.Resends <= 0 {
		c.Resends = 3
	}
	if len(c.Mix) == 0 {
		c.Mix = []Class{{Name: "lookup", Weight: 1, Method: http.MethodGet, Path: "/short/lookup", Idempotent: true}}
	}
	return c
}

// shot is one scheduled request.
type shot struct {
	class    *Class
	key      string
	customer string
	target   int
	seq      uint64
	at       time.Time
}

const (
	// scheduled bounds the shots between the schedule and the workers.
	scheduled = 4096
	// samples bounds results on their way to the collector.
	samples = 8192
)

// Runner is one run in progress.
type Runner struct {
	cfg       Config
	client    *http.Client
	shots     *ring.Ring[shot]
	results   *ring.Ring[sample]
	collector *collector
	hints     *hints
	pool      *ants.Pool
	// run tells the ids and idempotency keys of this run from those of others
	// with the same seed.
	run string
}

// New prepares a run.
func New(cfg Config) (*Runner, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Targets) == 0 || cfg.RequestRate <= 0 || cfg.Duration <= 0 || cfg.Service == "" {
		return nil, core.Fail(core.CodeInvalid, "load: service, targets, rate and duration are required")
	}
	pool, err := ants.NewPool(cfg.Workers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "load: workers")
	}
	return &Runner{
		cfg: cfg, pool: pool,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: cfg.Workers, MaxIdleConns: 0, DisableCompression: true,
		}},
		shots:     ring.New[shot]("shots", scheduled, ring.Refuse),
		results:   ring.New[sample]("samples", samples, ring.Block),
		collector: newCollector(),
		hints:     newHints(),
		run:       strconv.FormatInt(time.Now().UnixNano(), 36),
	}, nil
}

// Run sends the load and returns the report. It ends by itself, at the latest
// when ctx ends. Progress, when set, is called once a second on the
// collector's goroutine.
func (r *Runner) Run(ctx context.Context, progress func(Report)) Report {
	var duties sync.WaitGroup
	duties.Add(2)
	go func() {
		defer duties.Done()
		r.schedule(ctx)
		r.shots.Close()
	}()
	go func() {
		defer duties.Done()
		r.dispatch(ctx)
	}()
	collected := make(chan Report, 1)
	go func() {
		ring.Consume(context.Background(), r.results, time.Second, r.collector.add, func() {
			if progress != nil {
				progress(r.collector.report())
			}
		})
		collected <- r.collector.report()
	}()
	duties.Wait()
	r.results.Close()
	r.client.CloseIdleConnections()
	return <-collected
}

// schedule draws the instants of the requests. It sleeps on a timer until the
// next one; when it is late it catches up, as an open loop must.
func (r *Runner) schedule(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	draw := newKeys(r.cfg, rng)
	start := time.Now()
	at := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for seq := uint64(0); ; seq++ {
		rate := r.cfg.RequestRate * factorAt(r.cfg.RateChanges, at.Sub(start))
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(start) >= r.cfg.Duration {
			return
		}
		if wait := time.Until(at); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		s := shot{class: draw.class(), key: draw.key(), customer: draw.customer(),
			target: rng.IntN(len(r.cfg.Targets)), seq: seq, at: at}
		if r.shots.Push(ctx, s) != nil {
			r.drop(s)
		}
	}
}

func (r *Runner) drop(s shot) {
	_ = r.results.Push(context.Background(), sample{class: s.class.Name, outcome: outcomeDropped})
}

// dispatch hands shots to the workers and returns once the last has ended.
func (r *Runner) dispatch(ctx context.Context) {
	var running sync.WaitGroup
	for {
		s, ok := r.shots.Next(ctx)
		if !ok {
			break
		}
		running.Add(1)
		if err := r.pool.Submit(func() {
			defer running.Done()
			r.fire(ctx, s)
		}); err != nil {
			running.Done()
			r.drop(s)
		}
	}
	running.Wait()
	r.pool.Release()
}

func factorAt(swings []RateChange, t time.Duration) float64 {
	f := 1.0
	for _, s := range swings {
		if s.From <= t && t < s.To {
			f *= s.Factor
		}
	}
	return f
}

// keys draws classes, keys and customers.
type keys struct {
	cfg   Config
	rng   *rand.Rand
	zipf  *zipf
	total float64
}

func newKeys(cfg Config, rng *rand.Rand) *keys {
	k := &keys{cfg: cfg, rng: rng, zipf: newZipf(cfg.KeyCount, cfg.ZipfExponent)}
	for _, c := range cfg.Mix {
		k.total += c.Weight
	}
	return k
}

func (k *keys) class() *Class {
	x := k.rng.Float64() * k.total
	for i := range k.cfg.Mix {
		if x -= k.cfg.Mix[i].Weight; x < 0 {
			return &k.cfg.Mix[i]
		}
	}
	return &k.cfg.Mix[len(k.cfg.Mix)-1]
}

func (k *keys) key() string { return "key-" + strconv.Itoa(k.zipf.draw(k.rng)) }

func (k *keys) customer() string {
	return "customer-" + strconv.Itoa(k.rng.IntN(k.cfg.CustomerCount))
}
