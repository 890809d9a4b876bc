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

// Class is one class of requests in the mix.
type Class struct {
	// Name of the class in reports.
	Name string
	// Weight sets the share of the requests, relative to the other classes.
	Weight float64
	// Method and Path of the requests.
	Method, Path string
	// Kind is sent to the router as the request's kind when not empty.
	Kind string
	// BodyBytes is the length of the request body; 0 sends none.
	BodyBytes int64
	// Idempotent tells the router that the requests are idempotent.
	Idempotent bool
	// AtMostOnce sends an idempotency key and the issue time, and resends the
	// request up to Config.MaxResends times when the connection broke, the
	// answer was truncated, the outcome is unknown or the request did not run.
	AtMostOnce bool
	// Deadline is the time allowed for a request, as told to the router. The
	// generator waits 1 s longer for the answer. Default 5 s.
	Deadline time.Duration
}

// RateChange multiplies the request rate by Factor between two times, which
// count from the start of the run.
type RateChange struct {
	From, To time.Duration
	Factor   float64
}

// Config describes one run.
type Config struct {
	Service core.Service
	// Targets are caller addresses of nodes; each request goes to a random one.
	Targets []string
	// RequestRate is the mean number of requests a second.
	RequestRate float64
	Duration    time.Duration
	// KeyCount is the number of distinct keys, and ZipfExponent the exponent
	// of their popularity (0 is uniform).
	KeyCount     int
	ZipfExponent float64
	// CustomerCount is the number of distinct customers.
	CustomerCount int
	// Mix lists the classes of requests. Default: idempotent lookups only.
	Mix []Class
	// RateChanges may overlap; their factors are then multiplied.
	RateChanges []RateChange
	// Workers bounds the requests in flight; a request that finds no free
	// worker is counted as dropped. Default 2048.
	Workers int
	// SendToOwner sends a request straight to the owner of its key when an
	// earlier answer named it.
	SendToOwner bool
	// Seed determines the send times, and the class, key, customer and target of
	// each request.
	Seed uint64
	// MaxResends bounds the attempts of an AtMostOnce request after the first.
	// Default 3.
	MaxResends int
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
	if c.MaxResends <= 0 {
		c.MaxResends = 3
	}
	if len(c.Mix) == 0 {
		c.Mix = []Class{{Name: "lookup", Weight: 1, Method: http.MethodGet, Path: "/short/lookup", Idempotent: true}}
	}
	return c
}

// scheduledRequest is one request with the time at which it is due.
type scheduledRequest struct {
	class    *Class
	key      string
	customer string
	// targetIndex is the index of the node in Config.Targets.
	targetIndex int
	seq         uint64
	scheduledAt time.Time
}

const (
	// requestRingSize bounds the requests between the scheduler and the workers.
	requestRingSize = 4096
	// sampleRingSize bounds the samples between the workers and the collector.
	sampleRingSize = 8192
)

// Runner sends the load of one run.
type Runner struct {
	cfg       Config
	client    *http.Client
	scheduled *ring.Ring[scheduledRequest]
	samples   *ring.Ring[sample]
	collector *collector
	owners    *owners
	pool      *ants.Pool
	// runID distinguishes the request ids and idempotency keys of this run
	// from those of other runs with the same seed.
	runID string
}

// New returns a Runner for one run, or an error with core.CodeInvalid when a
// required setting is missing.
func New(cfg Config) (*Runner, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Targets) == 0 || cfg.RequestRate <= 0 || cfg.Duration <= 0 || cfg.Service == "" {
		return nil, core.Fail(core.CodeInvalid, "load: service, targets, request rate and duration are required")
	}
	pool, err := ants.NewPool(cfg.Workers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "load: create worker pool")
	}
	return &Runner{
		cfg: cfg, pool: pool,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: cfg.Workers, MaxIdleConns: 0, DisableCompression: true,
		}},
		scheduled: ring.New[scheduledRequest]("shots", requestRingSize, ring.Refuse),
		samples:   ring.New[sample]("samples", sampleRingSize, ring.Block),
		collector: newCollector(),
		owners:    newOwners(),
		runID:     strconv.FormatInt(time.Now().UnixNano(), 36),
	}, nil
}

// Run sends the load and returns the report. It ends after the configured
// duration and the last answer, or earlier when ctx ends. progress, when not
// nil, is called once a second on the collector's goroutine.
func (r *Runner) Run(ctx context.Context, progress func(Report)) Report {
	var sending sync.WaitGroup
	sending.Add(2)
	go func() {
		defer sending.Done()
		r.schedule(ctx)
		r.scheduled.Close()
	}()
	go func() {
		defer sending.Done()
		r.dispatch(ctx)
	}()
	collected := make(chan Report, 1)
	go func() {
		ring.Consume(context.Background(), r.samples, time.Second, r.collector.add, func() {
			if progress != nil {
				progress(r.collector.report())
			}
		})
		collected <- r.collector.report()
	}()
	sending.Wait()
	r.samples.Close()
	r.client.CloseIdleConnections()
	return <-collected
}

// schedule queues requests at exponentially distributed intervals. It sleeps
// on a timer until the next request is due. When it is late it queues the
// overdue requests at once, because an open loop does not wait for answers.
func (r *Runner) schedule(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	mix := newRequestMix(r.cfg, rng)
	start := time.Now()
	dueAt := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for seq := uint64(0); ; seq++ {
		rate := r.cfg.RequestRate * rateFactorAt(r.cfg.RateChanges, dueAt.Sub(start))
		dueAt = dueAt.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if dueAt.Sub(start) >= r.cfg.Duration {
			return
		}
		if wait := time.Until(dueAt); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		s := scheduledRequest{class: mix.class(), key: mix.key(), customer: mix.customer(),
			targetIndex: rng.IntN(len(r.cfg.Targets)), seq: seq, scheduledAt: dueAt}
		if r.scheduled.Push(ctx, s) != nil {
			r.countDropped(s)
		}
	}
}

func (r *Runner) countDropped(s scheduledRequest) {
	_ = r.samples.Push(context.Background(), sample{class: s.class.Name, outcome: outcomeDropped})
}

// dispatch hands scheduled requests to the workers and returns once the last
// request has ended.
func (r *Runner) dispatch(ctx context.Context) {
	var running sync.WaitGroup
	for {
		s, ok := r.scheduled.Next(ctx)
		if !ok {
			break
		}
		running.Add(1)
		if err := r.pool.Submit(func() {
			defer running.Done()
			r.sendWithResends(ctx, s)
		}); err != nil {
			running.Done()
			r.countDropped(s)
		}
	}
	running.Wait()
	r.pool.Release()
}

// rateFactorAt returns the factor for the request rate at time t after the start
// of the run.
func rateFactorAt(changes []RateChange, t time.Duration) float64 {
	factor := 1.0
	for _, change := range changes {
		if change.From <= t && t < change.To {
			factor *= change.Factor
		}
	}
	return factor
}

// requestMix draws the class, key and customer of each request.
type requestMix struct {
	cfg         Config
	rng         *rand.Rand
	zipf        *zipf
	totalWeight float64
}

func newRequestMix(cfg Config, rng *rand.Rand) *requestMix {
	k := &requestMix{cfg: cfg, rng: rng, zipf: newZipf(cfg.KeyCount, cfg.ZipfExponent)}
	for _, c := range cfg.Mix {
		k.totalWeight += c.Weight
	}
	return k
}

func (k *requestMix) class() *Class {
	x := k.rng.Float64() * k.totalWeight
	for i := range k.cfg.Mix {
		if x -= k.cfg.Mix[i].Weight; x < 0 {
			return &k.cfg.Mix[i]
		}
	}
	return &k.cfg.Mix[len(k.cfg.Mix)-1]
}

func (k *requestMix) key() string { return "key-" + strconv.Itoa(k.zipf.draw(k.rng)) }

func (k *requestMix) customer() string {
	return "customer-" + strconv.Itoa(k.rng.IntN(k.cfg.CustomerCount))
}
