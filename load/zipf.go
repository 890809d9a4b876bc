package load

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipf draws ranks, counted from 0, with probability proportional to
// 1/(rank+1)^s. The standard library's generator needs s > 1, and caches are
// usually modelled with s = 0.99.
type zipf struct{ cumulative []float64 }

func newZipf(n int, s float64) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -s)
		z.cumulative[i] = sum
	}
	return z
}

func (z *zipf) draw(rng *rand.Rand) int {
	x := rng.Float64() * z.cumulative[len(z.cumulative)-1]
	return sort.SearchFloat64s(z.cumulative, x)
}
