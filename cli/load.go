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

type loadFlags struct {
	targets, service                   string
	rate, zipf, swing                  float64
	duration, swingFrom, swingFor      time.Duration
	keys, customers, workers, uploadMB int
	submissions, uploads               float64
	hints                              bool
	seed                               int
}

func loadCommand() command {
	f := loadFlags{service: "hintapalvelu", rate: 200, zipf: 0.99, swing: 1, duration: 10 * time.Second,
		swingFor: 2 * time.Second, keys: 100_000, customers: 100, workers: 2048, uploadMB: 1, seed: 1}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Send open-loop load to running nodes and print outcomes and latency quantiles."
	sub.AddPositionalValue(&f.targets, "TARGETS", 1, true, "Caller addresses of nodes, separated by commas. Loopback only.")
	sub.String(&f.service, "s", "service", "Service to ask for.")
	sub.Float64(&f.rate, "r", "rate", "Requests a second.")
	sub.Duration(&f.duration, "d", "duration", "Length of the run, at most 10m.")
	sub.Int(&f.keys, "k", "keys", "Number of distinct keys.")
	sub.Float64(&f.zipf, "z", "zipf", "Exponent of key popularity; 0 is uniform.")
	sub.Int(&f.customers, "c", "customers", "Number of distinct customers.")
	sub.Float64(&f.submissions, "", "submissions", "Share of non-idempotent submissions.")
	sub.Float64(&f.uploads, "", "uploads", "Share of long uploads.")
	sub.Int(&f.uploadMB, "", "upload-mb", "Size of an upload in MiB.")
	sub.Float64(&f.swing, "", "swing", "Factor of the rate during a demand swing.")
	sub.Duration(&f.swingFrom, "", "swing-from", "Start of the swing.")
	sub.Duration(&f.swingFor, "", "swing-for", "Length of the swing.")
	sub.Int(&f.workers, "", "workers", "Most requests in flight.")
	sub.Bool(&f.hints, "", "hints", "Send known keys straight to their owner.")
	sub.Int(&f.seed, "", "seed", "Seed of keys and instants.")
	return command{sub, func(ctx context.Context, o output) int { return runLoad(ctx, o, f) }}
}

func runLoad(ctx context.Context, o output, f loadFlags) int {
	targets := strings.Split(f.targets, ",")
	for _, t := range targets {
		if !strings.HasPrefix(t, "127.") && !strings.HasPrefix(t, "[::1]") {
			return o.fail(exitUsage, core.Fail(core.CodeInvalid, "target "+t+" is not a loopback address"))
		}
	}
	if f.duration > 10*time.Minute || f.submissions+f.uploads > 1 || f.submissions < 0 || f.uploads < 0 {
		return o.fail(exitUsage, core.Fail(core.CodeInvalid, "duration is at most 10m, and shares add up to at most 1"))
	}
	r, err := load.New(load.Config{
		Service: core.Service(f.service), Targets: targets, RequestRate: f.rate, Duration: f.duration,
		KeyCount: f.keys, ZipfExponent: f.zipf, CustomerCount: f.customers, Workers: f.workers, SendToOwner: f.hints,
		Seed: uint64(f.seed), Mix: f.mix(),
		RateChanges: []load.RateChange{{From: f.swingFrom, To: f.swingFrom + f.swingFor, Factor: f.swing}},
	})
	if err != nil {
		return o.fail(exitUsage, err)
	}
	r.Run(ctx, nil).Print(o.out)
	return exitOK
}

func (f loadFlags) mix() []load.Class {
	mix := []load.Class{{Name: "lookup", Weight: 1 - f.submissions - f.uploads, Method: http.MethodGet, Path: "/short/lookup", Idempotent: true}}
	if f.submissions > 0 {
		mix = append(mix, load.Class{Name: "submission", Weight: f.submissions, Method: http.MethodPost, Path: "/short/submit", BodyBytes: 300, AtMostOnce: true})
	}
	if f.uploads > 0 {
		mix = append(mix, load.Class{Name: "upload", Weight: f.uploads, Method: http.MethodPost, Path: "/long/upload", Kind: "long",
			BodyBytes: int64(f.uploadMB) << 20, AtMostOnce: true, Deadline: time.Minute})
	}
	return mix
}
