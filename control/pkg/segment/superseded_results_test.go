package segment

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	benchItems     = 100_000
	benchBodyBytes = 400
)

// attempt is one result that arrives. accepted reports whether the result counts for
// its item.
type attempt struct {
	item     uint32
	accepted bool
}

// arrivals returns a job's results in the order of their arrival. The given share of the
// items were run a second time, by a sidecar that had lost its lease.
func arrivals(share float64) []attempt {
	random := rand.New(rand.NewPCG(1, 2))
	var list []attempt
	for i := range benchItems {
		if random.Float64() < share {
			list = append(list, attempt{item: uint32(i)})
		}
		list = append(list, attempt{item: uint32(i), accepted: true})
	}
	// Results arrive roughly, not strictly, in the order of the leases.
	for i := range list {
		j := min(len(list)-1, i+random.IntN(2_000))
		list[i], list[j] = list[j], list[i]
	}
	return list
}

func newStore(t testing.TB) *Store {
	s := New(Config{Folder: t.TempDir(), Name: "results"})
	require.NoError(t, s.Load(nil))
	t.Cleanup(s.Close)
	return s
}

func encodeItem(buffer []byte, a attempt) []byte {
	binary.LittleEndian.PutUint32(buffer, a.item)
	return buffer
}

// BenchmarkSupersededResults compares two ways to hide results that don't count from
// readers: refusing them before the append and storing a location for each item, or
// appending all results and storing an index of those that don't count, by which readers
// filter a sequential scan. Readers need item order, so the second way has to sort the
// scanned results.
func BenchmarkSupersededResults(b *testing.B) {
	for _, share := range []float64{0, 0.01, 0.10} {
		list := arrivals(share)
		b.Run(fmt.Sprintf("refused/lost=%.0f%%", 100*share), func(b *testing.B) { benchRefused(b, list) })
		b.Run(fmt.Sprintf("indexed/lost=%.0f%%", 100*share), func(b *testing.B) { benchIndexed(b, list) })
	}
}

func benchRefused(b *testing.B, list []attempt) {
	buffer := make([]byte, benchBodyBytes)
	for range b.N {
		s := newStore(b)
		refs := make([]Ref, benchItems)
		for n, a := range list {
			if a.accepted {
				ref, err := s.Append(encodeItem(buffer, a))
				require.NoError(b, err)
				refs[a.item] = ref
			}
			if n%512 == 0 {
				require.NoError(b, s.Flush())
			}
		}
		require.NoError(b, s.Flush())
		b.ReportMetric(float64(s.Bytes())/benchItems, "B-disk/item")
		b.ReportMetric(8, "B-memory/item")
		b.ReportMetric(benchItems/timed(b, func() { readOneByOne(b, s, refs) }), "singly-reads/s")
		b.ReportMetric(benchItems/timed(b, func() { readPages(b, s, refs) }), "reads/s")
	}
}

// checkItem doesn't use testify, whose comparisons would take longer than the reads.
func checkItem(b *testing.B, item int, payload []byte) {
	if uint32(item) != binary.LittleEndian.Uint32(payload) {
		b.Fatalf("item %d has the result of another item", item)
	}
}

func readOneByOne(b *testing.B, s *Store, refs []Ref) {
	for item, ref := range refs {
		payload, err := s.Read(ref)
		if err != nil {
			b.Fatal(err)
		}
		checkItem(b, item, payload)
	}
}

func readPages(b *testing.B, s *Store, refs []Ref) {
	const page = 512
	for first := 0; first < len(refs); first += page {
		payloads, err := s.ReadMany(refs[first:min(first+page, len(refs))])
		require.NoError(b, err)
		for n, payload := range payloads {
			checkItem(b, first+n, payload)
		}
	}
}

func benchIndexed(b *testing.B, list []attempt) {
	buffer := make([]byte, benchBodyBytes)
	for range b.N {
		s := newStore(b)
		var superseded []Ref
		for n, a := range list {
			ref, err := s.Append(encodeItem(buffer, a))
			require.NoError(b, err)
			if !a.accepted {
				superseded = append(superseded, ref)
			}
			if n%512 == 0 {
				require.NoError(b, s.Flush())
			}
		}
		require.NoError(b, s.Flush())
		b.ReportMetric(float64(s.Bytes())/benchItems, "B-disk/item")
		b.ReportMetric(8*float64(len(superseded))/benchItems, "B-memory/item")
		read := timed(b, func() { scanIndexed(b, s, superseded) })
		b.ReportMetric(benchItems/read, "reads/s")
	}
}

// scanIndexed reads whole files, skips the records that the index lists, and sorts the rest
// by item.
func scanIndexed(b *testing.B, s *Store, superseded []Ref) {
	results := make([][]byte, benchItems)
	for _, number := range s.fileNumbers() {
		f := s.files[number]
		data := make([]byte, f.length)
		_, err := f.handle.ReadAt(data, 0)
		require.NoError(b, err)
		for offset := 0; offset < len(data); {
			length := int(binary.LittleEndian.Uint32(data[offset:]))
			payload := data[offset+headerBytes : offset+headerBytes+length]
			if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[offset+4:]) {
				b.Fatal("damaged")
			}
			if _, skip := slices.BinarySearch(superseded, newRef(number, int64(offset))); !skip {
				results[binary.LittleEndian.Uint32(payload)] = payload
			}
			offset += headerBytes + length
		}
	}
	for item, payload := range results {
		checkItem(b, item, payload)
	}
}
