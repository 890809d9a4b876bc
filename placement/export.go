package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// MaxExportBytes is the greatest size of an export. Fifteen members that each
// send one every 5 s cost their coordinator 0.8 KB a second of its 5 KB budget;
// heartbeats take 4 KB.
const MaxExportBytes = 256

const (
	exportVersion = 1
	headerBytes   = 19
	hitterBytes   = 10
	// maxExportedHitters leaves 90 bytes or more for the histogram.
	maxExportedHitters = 14
	// minHitterFraction is the least fraction of a node's load for which a hash
	// is worth its ten bytes.
	minHitterFraction = 0.002
	// minCellFraction is the fraction of a node's load below which a histogram
	// cell is left out.
	minCellFraction = 1e-4
)

// HeavyHitter is a hash whose load is counted on its own. Rate is in cost per
// second.
type HeavyHitter struct {
	Hash core.Hash
	Rate float64
}

// Export encodes the load at now in at most MaxExportBytes: the heaviest
// hashes, and the histogram of all other load at the finest resolution that
// fits.
func (s *Sketch) Export(now clock.Instant) []byte {
	factor := s.ratePerWeight(now)
	hitters := s.HeavyHitters(now, maxExportedHitters)
	residual := make([]float64, cellCount)
	for i, weight := range s.histogram {
		residual[i] = weight * factor
	}
	for _, h := range hitters {
		load := &residual[uint64(h.Hash-s.span.Lo)/s.cellWidth]
		*load = max(0, *load-h.Rate)
	}
	minLoad := s.totalWeight * factor * minCellFraction
	availableBytes := MaxExportBytes - headerBytes - hitterBytes*len(hitters)
	halvings, coarse := uint8(0), residual
	runs, maxCellLoad := encodeRuns(coarse, minLoad)
	for len(runs) > availableBytes {
		halvings, coarse = halvings+1, halveResolution(coarse)
		runs, maxCellLoad = encodeRuns(coarse, minLoad)
	}
	b := make([]byte, 0, MaxExportBytes)
	b = append(b, exportVersion, halvings, uint8(len(hitters)))
	b = binary.BigEndian.AppendUint32(b, spanChecksum(s.span))
	b = appendFloat32(b, s.totalWeight*factor)
	maxRate := 0.0
	if len(hitters) > 0 {
		maxRate = hitters[0].Rate
	}
	b = appendFloat32(appendFloat32(b, maxRate), maxCellLoad)
	for _, h := range hitters {
		b = binary.BigEndian.AppendUint64(b, uint64(h.Hash))
		b = binary.BigEndian.AppendUint16(b, uint16(math.Round(h.Rate/maxRate*math.MaxUint16)))
	}
	return append(b, runs...)
}

// HeavyHitters returns the hashes with the greatest load, heaviest first and at
// most limit. A rate is a lower bound: it leaves out cost that may belong to
// other hashes.
func (s *Sketch) HeavyHitters(now clock.Instant, limit int) []HeavyHitter {
	factor := s.ratePerWeight(now)
	out := make([]HeavyHitter, 0, len(s.heap))
	for _, c := range s.heap {
		if lowerBound := c.upperBound - c.overestimate; lowerBound > 0 && lowerBound >= minHitterFraction*s.totalWeight {
			out = append(out, HeavyHitter{Hash: c.hash, Rate: lowerBound * factor})
		}
	}
	slices.SortFunc(out, func(a, b HeavyHitter) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(limit, len(out))]
}

// encodeRuns encodes the cells above minLoad as runs and returns them with the
// greatest cell load. A run is the index of its first cell (two bytes), the
// number of cells, and one byte for each cell as a fraction of the greatest
// load.
func encodeRuns(cells []float64, minLoad float64) ([]byte, float64) {
	maxLoad := slices.Max(cells)
	if maxLoad <= minLoad {
		return nil, 0
	}
	var b []byte
	for i := 0; i < len(cells); i++ {
		if cells[i] <= minLoad {
			continue
		}
		start, countIndex := i, len(b)+2
		b = append(binary.BigEndian.AppendUint16(b, uint16(start)), 0)
		for ; i < len(cells) && cells[i] > minLoad && i-start < math.MaxUint8; i++ {
			b = append(b, uint8(math.Round(cells[i]/maxLoad*math.MaxUint8)))
		}
		b[countIndex] = uint8(i - start)
		i--
	}
	return b, maxLoad
}

// halveResolution returns the cells joined in pairs.
func halveResolution(cells []float64) []float64 {
	out := make([]float64, (len(cells)+1)/2)
	for i, c := range cells {
		out[i/2] += c
	}
	return out
}

func appendFloat32(b []byte, f float64) []byte {
	return binary.BigEndian.AppendUint32(b, math.Float32bits(float32(f)))
}

// spanChecksum identifies a span, so that an export made for a former span of
// the group is rejected.
func spanChecksum(span core.Range) uint32 {
	b := binary.BigEndian.AppendUint64(nil, uint64(span.Lo))
	return uint32(core.HashKey(string(binary.BigEndian.AppendUint64(b, uint64(span.Hi)))))
}

// memberReport is a decoded export. Its rates are in cost per second.
type memberReport struct {
	receivedAt clock.Instant
	totalRate  float64
	hitters    []HeavyHitter
	histogram  [cellCount]float64
}

func decodeExport(span core.Range, b []byte) (*memberReport, error) {
	if len(b) < headerBytes || len(b) > MaxExportBytes {
		return nil, &ExportError{Fault: FaultTruncated}
	}
	if b[0] != exportVersion {
		return nil, &ExportError{Fault: FaultUnknownVersion}
	}
	if binary.BigEndian.Uint32(b[3:]) != spanChecksum(span) {
		return nil, &ExportError{Fault: FaultForeignSpan}
	}
	halvings, hitterCount := b[1], int(b[2])
	report := &memberReport{totalRate: readFloat32(b[7:])}
	maxRate, maxCellLoad := readFloat32(b[11:]), readFloat32(b[15:])
	if halvings > 10 || !isFiniteNonNegative(report.totalRate) || !isFiniteNonNegative(maxRate) || !isFiniteNonNegative(maxCellLoad) {
		return nil, &ExportError{Fault: FaultValueOutOfBounds}
	}
	b = b[headerBytes:]
	if len(b) < hitterCount*hitterBytes {
		return nil, &ExportError{Fault: FaultTruncated}
	}
	for ; hitterCount > 0; hitterCount, b = hitterCount-1, b[hitterBytes:] {
		h := core.Hash(binary.BigEndian.Uint64(b))
		if !span.Contains(h) {
			return nil, &ExportError{Fault: FaultValueOutOfBounds}
		}
		report.hitters = append(report.hitters, HeavyHitter{Hash: h, Rate: float64(binary.BigEndian.Uint16(b[8:])) / math.MaxUint16 * maxRate})
	}
	return report, report.decodeRuns(b, halvings, maxCellLoad)
}

// decodeRuns decodes runs of cells whose width was doubled halvings times, and
// spreads each evenly over the cells it covers.
func (r *memberReport) decodeRuns(b []byte, halvings uint8, maxCellLoad float64) error {
	cellsPerCoarseCell := 1 << halvings
	for len(b) > 0 {
		if len(b) < 3 || len(b) < 3+int(b[2]) {
			return &ExportError{Fault: FaultTruncated}
		}
		start, count := int(binary.BigEndian.Uint16(b)), int(b[2])
		if (start+count)*cellsPerCoarseCell > cellCount {
			return &ExportError{Fault: FaultValueOutOfBounds}
		}
		for i, v := range b[3 : 3+count] {
			for j := range cellsPerCoarseCell {
				r.histogram[(start+i)*cellsPerCoarseCell+j] += float64(v) / math.MaxUint8 * maxCellLoad / float64(cellsPerCoarseCell)
			}
		}
		b = b[3+count:]
	}
	return nil
}

func readFloat32(b []byte) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
}

func isFiniteNonNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
