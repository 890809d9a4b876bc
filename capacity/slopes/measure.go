package slopes

import (
	"runtime"
	"time"

	"marjoramshore.example/capacity"
)

// timingRounds is the number of times that each duration is measured. The
// shortest one counts, because other work on the VM can only lengthen it.
const timingRounds = 3

// secondsPerRun returns the seconds that one call of f takes, as the mean of n
// calls in the fastest round.
func secondsPerRun(n int, f func()) float64 {
	best := 0.0
	for r := range timingRounds {
		begin := time.Now()
		for range n {
			f()
		}
		if took := time.Since(begin).Seconds() / float64(n); r == 0 || took < best {
			best = took
		}
	}
	return best
}

// heapOf returns the heap bytes that a result of build occupies, as the mean of
// n results.
func heapOf[T any](n int, build func() T) float64 {
	var before, after runtime.MemStats
	retained := []T{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range n {
		retained = append(retained, build())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n)
}

// measureSizes adds a point to s for each size.
func measureSizes(s capacity.Slope, sizes []int, measure func(size int) (float64, error)) (capacity.Slope, error) {
	for _, size := range sizes {
		v, err := measure(size)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, capacity.Point{Size: float64(size), Value: v})
	}
	return s, nil
}

// measureFunc measures a set of related slopes.
type measureFunc func() ([]capacity.Slope, error)

// allMeasureFuncs lists everything that is measured.
func allMeasureFuncs() []measureFunc {
	return []measureFunc{measureSteadyGroups, measureAllStoreCalls, measureOutages, measureTables, measureOnceRecords, measureAdmission, measureSuspects, measureConfigurations, measureCallBytes, measureConnections, measureLoadReports, measureTelemetry}
}

// Measure runs every measurement and fits the lines. It takes some seconds and
// uses the network only on loopback addresses.
func Measure() (*capacity.Measurements, error) {
	out := &capacity.Measurements{
		Date: time.Now().UTC().Format(time.DateOnly),
		Host: capacity.Host{Cores: runtime.NumCPU(), Go: runtime.Version()},
	}
	for _, measure := range allMeasureFuncs() {
		measuredSlopes, err := measure()
		if err != nil {
			return nil, err
		}
		for _, s := range measuredSlopes {
			out.Slopes = append(out.Slopes, capacity.Fit(s))
		}
	}
	return out, nil
}
