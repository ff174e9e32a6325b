package disk

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/control/pkg/consensus"
)

// BenchmarkAppend measures one write with its sync, for more and more entries of
// 200 bytes that share it.
func BenchmarkAppend(b *testing.B) {
	for _, shared := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("entries=%d", shared), func(b *testing.B) {
			l, _ := mustOpen(b, Config{Folder: b.TempDir()})
			index := uint64(0)
			b.ResetTimer()
			for range b.N {
				p := consensus.Persist{State: consensus.HardState{Term: 1}}
				for range shared {
					index++
					p.Entries = append(p.Entries, consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, 200)})
				}
				require.NoError(b, l.Append(p))
			}
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkOpen measures reading back 100,000 entries of 200 bytes.
func BenchmarkOpen(b *testing.B) {
	config := Config{Folder: b.TempDir()}
	l, _ := mustOpen(b, config)
	for index := uint64(1); index <= 100_000; index += 1000 {
		p := consensus.Persist{State: consensus.HardState{Term: 1}}
		for i := range uint64(1000) {
			p.Entries = append(p.Entries, consensus.Entry{Index: index + i, Term: 1, Kind: consensus.EntryCommand, Data: make([]byte, 200)})
		}
		require.NoError(b, l.Append(p))
	}
	require.NoError(b, l.Close())
	b.ResetTimer()
	for range b.N {
		l, content := mustOpen(b, config)
		require.Equal(b, uint64(100_000), content.LastIndex())
		require.NoError(b, l.Close())
	}
}
