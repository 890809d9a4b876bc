package cli

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"marjoramshore.example/core"
	"marjoramshore.example/load"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	targets, service                   string
	rate, zipf, swingFactor            float64
	duration, swingFrom, swingFor      time.Duration
	keys, customers, workers, uploadMB int
	submissionShare, uploadShare       float64
	followHints                        bool
	seed                               int
}

func loadCommand() command {
	f := loadFlags{service: "hintapalvelu", rate: 200, zipf: 0.99, swingFactor: 1, duration: 10 * time.Second,
		swingFor: 2 * time.Second, keys: 100_000, customers: 100, workers: 2048, uploadMB: 1, seed: 1}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Send open-loop load to running nodes and print outcomes and latency quantiles."
	sub.AddPositionalValue(&f.targets, "TARGETS", 1, true, "Caller addresses of nodes, separated by commas. Loopback only.")
	sub.String(&f.service, "s", "service", "Service that the requests are for.")
	sub.Float64(&f.rate, "r", "rate", "Requests per second.")
	sub.Duration(&f.duration, "d", "duration", "Length of the run, at most 10m.")
	sub.Int(&f.keys, "k", "keys", "Number of distinct keys.")
	sub.Float64(&f.zipf, "z", "zipf", "Exponent of the Zipf distribution of keys; 0 is uniform.")
	sub.Int(&f.customers, "c", "customers", "Number of distinct customers.")
	sub.Float64(&f.submissionShare, "", "submissions", "Share of non-idempotent submissions, from 0 to 1.")
	sub.Float64(&f.uploadShare, "", "uploads", "Share of long uploads, from 0 to 1.")
	sub.Int(&f.uploadMB, "", "upload-mb", "Size of an upload in MiB.")
	sub.Float64(&f.swingFactor, "", "swing", "Factor that multiplies the rate during a demand swing.")
	sub.Duration(&f.swingFrom, "", "swing-from", "Start of the demand swing, after the start of the run.")
	sub.Duration(&f.swingFor, "", "swing-for", "Length of the demand swing.")
	sub.Int(&f.workers, "", "workers", "Maximum number of requests in flight.")
	sub.Bool(&f.followHints, "", "hints", "Follow routing hints: send requests for known keys directly to their owner.")
	sub.Int(&f.seed, "", "seed", "Random seed for keys and send times.")
	return command{sub, func(ctx context.Context, o streams) int { return runLoad(ctx, o, f) }}
}

func runLoad(ctx context.Context, o streams, f loadFlags) int {
	targets := strings.Split(f.targets, ",")
	for _, t := range targets {
		if !strings.HasPrefix(t, "127.") && !strings.HasPrefix(t, "[::1]") {
			return o.fail(exitUsage, core.Fail(core.CodeInvalid, "target "+t+" is not a loopback address"))
		}
	}
	if f.duration > 10*time.Minute || f.submissionShare+f.uploadShare > 1 || f.submissionShare < 0 || f.uploadShare < 0 {
		return o.fail(exitUsage, core.Fail(core.CodeInvalid, "--duration must be at most 10m, and --submissions and --uploads must not be negative and must add up to at most 1"))
	}
	runner, err := load.New(load.Config{
		Service: core.Service(f.service), Targets: targets, RequestRate: f.rate, Duration: f.duration,
		KeyCount: f.keys, ZipfExponent: f.zipf, CustomerCount: f.customers, Workers: f.workers, SendToOwner: f.followHints,
		Seed: uint64(f.seed), Mix: f.mix(),
		RateChanges: []load.RateChange{{From: f.swingFrom, To: f.swingFrom + f.swingFor, Factor: f.swingFactor}},
	})
	if err != nil {
		return o.fail(exitUsage, err)
	}
	runner.Run(ctx, nil).Print(o.stdout)
	return exitOK
}

// mix returns the classes of requests; lookups take the share that submissions
// and uploads leave.
func (f loadFlags) mix() []load.Class {
	mix := []load.Class{{Name: "lookup", Weight: 1 - f.submissionShare - f.uploadShare, Method: http.MethodGet, Path: "/short/lookup", Idempotent: true}}
	if f.submissionShare > 0 {
		mix = append(mix, load.Class{Name: "submission", Weight: f.submissionShare, Method: http.MethodPost, Path: "/short/submit", BodyBytes: 300, AtMostOnce: true})
	}
	if f.uploadShare > 0 {
		mix = append(mix, load.Class{Name: "upload", Weight: f.uploadShare, Method: http.MethodPost, Path: "/long/upload", Kind: "long",
			BodyBytes: int64(f.uploadMB) << 20, AtMostOnce: true, Deadline: time.Minute})
	}
	return mix
}
