package demo

import (
	"net/http"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/load"
	"marjoramshore.example/standin/backend"
)

// service is one service of a deployment.
type service struct {
	name    core.Service
	servers int
	// rate is the number of requests a second that the demo sends.
	rate float64
	mix  []load.Class
	// swing is the demand swing of the demo.
	swing load.RateChange
}

// deployment is one customer's installation, with the sizes of today.
type deployment struct {
	name     string
	region   core.Region
	backend  backend.Config
	services []service
}

func lookup(path string, share float64) load.Class {
	return load.Class{Name: "lookup", Weight: share, Method: http.MethodGet, Path: path, Idempotent: true, Deadline: 2 * time.Second}
}

func submit(path string, share float64) load.Class {
	return load.Class{Name: "submission", Weight: share, Method: http.MethodPost, Path: path, BodyBytes: 300, AtMostOnce: true, Deadline: 2 * time.Second}
}

func upload(path string, share float64) load.Class {
	return load.Class{Name: "upload", Weight: share, Method: http.MethodPost, Path: path, Kind: "long", BodyBytes: 2 << 20, AtMostOnce: true, Deadline: 20 * time.Second}
}

// times are the service times of the stand-in backend servers.
var times = []backend.PathServiceTime{
	{Prefix: "/short", Time: backend.LogNormal{Median: 3 * time.Millisecond, Sigma: 0.3}},
	{Prefix: "/long", Time: backend.LogNormal{Median: 400 * time.Millisecond, Sigma: 0.4}},
}

// deployments returns the two installations of today.
func deployments() []deployment {
	return []deployment{{
		name: "lammasmarkkina", region: "fi-south",
		backend: backend.Config{Slots: 17, MaxConnections: 130, ServiceTimes: times, ProbeDelay: 6 * time.Millisecond, ChecksTokens: true},
		services: []service{
			{name: "hintapalvelu", servers: 8, rate: 500,
				mix:   []load.Class{lookup("/short/price", 0.85), submit("/short/submit", 0.14), upload("/long/sale-sheet", 0.01)},
				swing: load.RateChange{From: 2 * time.Second, To: 4 * time.Second, Factor: 3}},
			{name: "raportit", servers: 4, rate: 100, mix: []load.Class{lookup("/short/report", 1)}},
		},
	}, {
		name: "muscat", region: "om-north",
		backend: backend.Config{Slots: 12, MaxConnections: 110, ServiceTimes: times, LoadReportMaxAge: 5 * time.Second},
		services: []service{
			{name: "tile-service", servers: 6, rate: 350,
				mix:   []load.Class{lookup("/short/tile", 0.97), submit("/short/licence", 0.03)},
				swing: load.RateChange{From: 6 * time.Second, To: 8 * time.Second, Factor: 3}},
			{name: "ingest-service", servers: 4, rate: 60,
				mix: []load.Class{lookup("/short/footprint", 0.75), submit("/short/delivery", 0.2), upload("/long/point-cloud", 0.05)}},
		},
	}}
}
