package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// MaxExport is the greatest size of an export in bytes. Fifteen members that
// send one every 5 s cost their coordinator 0.8 KB a second; heartbeats take
// 4 KB of its 5 KB.
const MaxExport = 256

const (
	exportVersion = 1
	headerSize    = 19
	hitterSize    = 10
	// exportHitters leaves 90 bytes for the histogram.
	exportHitters = 14
	// hitterShare is the least share of a node's load that makes a hash worth
	// its ten bytes.
	hitterShare = 0.002
	// cellShare is the share of a node's load below which a cell is left out.
	cellShare = 1e-4
)

// Hitter is a hash with a load of its own.
type Hitter struct {
	Hash core.Hash
	Rate float64
}

// Export encodes the load at instant now in at most MaxExport bytes: the
// heaviest hashes and the histogram of all other load, at the finest
// resolution that fits.
func (s *Sketch) Export(now clock.Instant) []byte {
	k := s.rate(now)
	hitters := s.Hitters(now, exportHitters)
	rest := make([]float64, cellCount)
	for i, w := range s.cells {
		rest[i] = w * k
	}
	for _, h := range hitters {
		c := &rest[uint64(h.Hash-s.span.Lo)/s.step]
		*c = max(0, *c-h.Rate)
	}
	floor := s.total * k * cellShare
	room := MaxExport - headerSize - hitterSize*len(hitters)
	level, cells := uint8(0), rest
	runs, scale := encodeRuns(cells, floor)
	for len(runs) > room {
		level, cells = level+1, halve(cells)
		runs, scale = encodeRuns(cells, floor)
	}
	b := make([]byte, 0, MaxExport)
	b = append(b, exportVersion, level, uint8(len(hitters)))
	b = binary.BigEndian.AppendUint32(b, spanSum(s.span))
	b = appendFloat(b, s.total*k)
	top := 0.0
	if len(hitters) > 0 {
		top = hitters[0].Rate
	}
	b = appendFloat(appendFloat(b, top), scale)
	for _, h := range hitters {
		b = binary.BigEndian.AppendUint64(b, uint64(h.Hash))
		b = binary.BigEndian.AppendUint16(b, uint16(math.Round(h.Rate/top*math.MaxUint16)))
	}
	return append(b, runs...)
}

// Hitters returns at most n hashes with the greatest load, heaviest first. The
// rates are the part that certainly belongs to the hash.
func (s *Sketch) Hitters(now clock.Instant, n int) []Hitter {
	k := s.rate(now)
	out := make([]Hitter, 0, len(s.heap))
	for _, c := range s.heap {
		if sure := c.weight - c.excess; sure > 0 && sure >= hitterShare*s.total {
			out = append(out, Hitter{Hash: c.hash, Rate: sure * k})
		}
	}
	slices.SortFunc(out, func(a, b Hitter) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(n, len(out))]
}

// encodeRuns writes the cells above floor as runs: start, count, then one byte
// for each cell as a fraction of the greatest.
func encodeRuns(cells []float64, floor float64) ([]byte, float64) {
	scale := slices.Max(cells)
	if scale <= floor {
		return nil, 0
	}
	var b []byte
	for i := 0; i < len(cells); i++ {
		if cells[i] <= floor {
			continue
		}
		start, count := i, len(b)+2
		b = append(binary.BigEndian.AppendUint16(b, uint16(start)), 0)
		for ; i < len(cells) && cells[i] > floor && i-start < math.MaxUint8; i++ {
			b = append(b, uint8(math.Round(cells[i]/scale*math.MaxUint8)))
		}
		b[count] = uint8(i - start)
		i--
	}
	return b, scale
}

func halve(cells []float64) []float64 {
	out := make([]float64, (len(cells)+1)/2)
	for i, c := range cells {
		out[i/2] += c
	}
	return out
}

func appendFloat(b []byte, f float64) []byte {
	return binary.BigEndian.AppendUint32(b, math.Float32bits(float32(f)))
}

// spanSum identifies a span, so that an export made before the group's span
// changed is not read with the new one.
func spanSum(r core.Range) uint32 {
	b := binary.BigEndian.AppendUint64(nil, uint64(r.Lo))
	return uint32(core.HashKey(string(binary.BigEndian.AppendUint64(b, uint64(r.Hi)))))
}

// report is a decoded export.
type report struct {
	at      clock.Instant
	total   float64
	hitters []Hitter
	cells   [cellCount]float64
}

func decode(span core.Range, b []byte) (*report, error) {
	if len(b) < headerSize || len(b) > MaxExport {
		return nil, &ExportError{Fault: FaultTruncated}
	}
	if b[0] != exportVersion {
		return nil, &ExportError{Fault: FaultVersion}
	}
	if binary.BigEndian.Uint32(b[3:]) != spanSum(span) {
		return nil, &ExportError{Fault: FaultSpan}
	}
	level, n := b[1], int(b[2])
	r := &report{total: readFloat(b[7:])}
	top, scale := readFloat(b[11:]), readFloat(b[15:])
	if level > 10 || !finite(r.total) || !finite(top) || !finite(scale) {
		return nil, &ExportError{Fault: FaultValue}
	}
	b = b[headerSize:]
	if len(b) < n*hitterSize {
		return nil, &ExportError{Fault: FaultTruncated}
	}
	for ; n > 0; n, b = n-1, b[hitterSize:] {
		h := core.Hash(binary.BigEndian.Uint64(b))
		if !span.Contains(h) {
			return nil, &ExportError{Fault: FaultValue}
		}
		r.hitters = append(r.hitters, Hitter{Hash: h, Rate: float64(binary.BigEndian.Uint16(b[8:])) / math.MaxUint16 * top})
	}
	return r, r.decodeRuns(b, level, scale)
}

// decodeRuns spreads each coarse cell evenly over the cells it covers.
func (r *report) decodeRuns(b []byte, level uint8, scale float64) error {
	wide := 1 << level
	for len(b) > 0 {
		if len(b) < 3 || len(b) < 3+int(b[2]) {
			return &ExportError{Fault: FaultTruncated}
		}
		start, n := int(binary.BigEndian.Uint16(b)), int(b[2])
		if (start+n)*wide > cellCount {
			return &ExportError{Fault: FaultValue}
		}
		for i, v := range b[3 : 3+n] {
			for j := range wide {
				r.cells[(start+i)*wide+j] += float64(v) / math.MaxUint8 * scale / float64(wide)
			}
		}
		b = b[3+n:]
	}
	return nil
}

func readFloat(b []byte) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
}

func finite(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
