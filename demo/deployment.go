package demo

import (
	"net/http"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/load"
	"marjoramshore.example/standin/backend"
)

// service is one service of a deployment with the load that it gets.
type service struct {
	name    core.Service
	vmCount int
	// requestRate is the number of requests a second that the demo sends.
	requestRate float64
	mix         []load.Class
	// rateChange is the change of the request rate during the demo.
	rateChange load.RateChange
}

// deployment is one customer's installation, with the sizes of today.
type deployment struct {
	name     string
	region   core.Region
	backend  backend.Config
	services []service
}

func lookupClass(path string, share float64) load.Class {
	return load.Class{Name: "lookup", Weight: share, Method: http.MethodGet, Path: path, Idempotent: true, Deadline: 2 * time.Second}
}

func submitClass(path string, share float64) load.Class {
	return load.Class{Name: "submission", Weight: share, Method: http.MethodPost, Path: path, BodyBytes: 300, AtMostOnce: true, Deadline: 2 * time.Second}
}

func uploadClass(path string, share float64) load.Class {
	return load.Class{Name: "upload", Weight: share, Method: http.MethodPost, Path: path, Kind: "long", BodyBytes: 2 << 20, AtMostOnce: true, Deadline: 20 * time.Second}
}

// serviceTimes are the service times of the stand-in backend servers.
var serviceTimes = []backend.PathServiceTime{
	{Prefix: "/short", Time: backend.LogNormal{Median: 3 * time.Millisecond, Sigma: 0.3}},
	{Prefix: "/long", Time: backend.LogNormal{Median: 400 * time.Millisecond, Sigma: 0.4}},
}

// currentDeployments returns today's two installations.
func currentDeployments() []deployment {
	return []deployment{{
		name: "lammasmarkkina", region: "fi-south",
		backend: backend.Config{Slots: 17, MaxConnections: 130, ServiceTimes: serviceTimes, ProbeDelay: 6 * time.Millisecond, ChecksTokens: true},
		services: []service{
			{name: "hintapalvelu", vmCount: 8, requestRate: 500,
				mix:        []load.Class{lookupClass("/short/price", 0.85), submitClass("/short/submit", 0.14), uploadClass("/long/sale-sheet", 0.01)},
				rateChange: load.RateChange{From: 2 * time.Second, To: 4 * time.Second, Factor: 3}},
			{name: "raportit", vmCount: 4, requestRate: 100, mix: []load.Class{lookupClass("/short/report", 1)}},
		},
	}, {
		name: "muscat", region: "om-north",
		backend: backend.Config{Slots: 12, MaxConnections: 110, ServiceTimes: serviceTimes, LoadReportMaxAge: 5 * time.Second},
		services: []service{
			{name: "tile-service", vmCount: 6, requestRate: 350,
				mix:        []load.Class{lookupClass("/short/tile", 0.97), submitClass("/short/licence", 0.03)},
				rateChange: load.RateChange{From: 6 * time.Second, To: 8 * time.Second, Factor: 3}},
			{name: "ingest-service", vmCount: 4, requestRate: 60,
				mix: []load.Class{lookupClass("/short/footprint", 0.75), submitClass("/short/delivery", 0.2), uploadClass("/long/point-cloud", 0.05)}},
		},
	}}
}
