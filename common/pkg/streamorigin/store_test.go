package streamorigin

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/common/pkg/clock"
)

var (
	v1 = Origin{Service: "llm", Version: "v1"}
	v2 = Origin{Service: "llm", Version: "v2"}
)

// Guards against a stream that another team, or another route, resumes.
func TestKeysOfOthersDiffer(t *testing.T) {
	key := KeyOf("team", "host/path/", "attempt")
	require.Equal(t, key, KeyOf("team", "host/path/", "attempt"))
	for _, other := range []Key{
		KeyOf("other", "host/path/", "attempt"), KeyOf("team", "host/other/", "attempt"), KeyOf("team", "host/path/", "other"),
		KeyOf("teamhost", "/path/", "attempt"), KeyOf("", "teamhost/path/", "attempt"),
	} {
		require.NotEqual(t, key, other)
	}
}

// Guards against a record that a later one replaces, and against two records of which either could be wrong.
func TestConflictingRecordsAreNotUsed(t *testing.T) {
	s, key := NewStore(), KeyOf("", "r", "a")
	s.Put(0, key, v1, 100)
	s.Put(50, key, v1, 100)
	origin, left, ok := s.Get(120, key)
	require.True(t, ok)
	require.Equal(t, v1, origin)
	require.Equal(t, clock.Millis(30), left)
	s.Put(130, key, v2, 100)
	_, _, ok = s.Get(140, key)
	require.False(t, ok)
	_, _, ok = s.Get(300, key)
	require.False(t, ok)
	s.Put(300, key, v2, 100)
	origin, _, ok = s.Get(310, key)
	require.True(t, ok, "the earlier records have expired")
	require.Equal(t, v2, origin)
}

// Guards against memory that grows with the number of streams.
func TestStoreIsBounded(t *testing.T) {
	s := NewStore()
	for n := range 2 * maxRecords {
		s.Put(clock.Millis(n), KeyOf("", "r", fmt.Sprint(n)), v1, 10*maxLifetime)
	}
	require.LessOrEqual(t, s.Len(), maxRecords)
	_, _, ok := s.Get(2*maxRecords, KeyOf("", "r", fmt.Sprint(2*maxRecords-1)))
	require.True(t, ok, "the newest records are kept")
	s.Put(maxLifetime+4*maxRecords, KeyOf("", "r", "last"), v1, 100)
	require.Equal(t, 1, s.Len(), "all others have expired")
}

// The store must agree with a plain list of all records, while there are few.
func TestStoreMatchesListRapid(t *testing.T) {
	type put struct {
		origin Origin
		until  clock.Millis
	}
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewStore(), clock.Millis(0)
		puts := map[Key][]put{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 60).Draw(t, "pause"))
			key := KeyOf("", "r", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")))
			origin := rapid.SampledFrom([]Origin{v1, v2}).Draw(t, "origin")
			lifetime := clock.Millis(rapid.IntRange(1, 100).Draw(t, "lifetime"))
			valid := clock.Millis(0)
			for _, p := range puts[key] {
				valid = max(valid, p.until)
			}
			if valid <= now {
				puts[key] = nil
			}
			puts[key] = append(puts[key], put{origin, now + lifetime})
			s.Put(now, key, origin, lifetime)
			for asked, list := range puts {
				until, same := clock.Millis(0), true
				for _, p := range list {
					until, same = max(until, p.until), same && p.origin == list[0].origin
				}
				got, _, ok := s.Get(now, asked)
				require.Equal(t, same && until > now, ok)
				if ok {
					require.Equal(t, list[0].origin, got)
				}
			}
		}
	})
}

// The memory of the records at a gateway of the fleet that this is designed for: 29 streams a second begin there, and as
// many records for each of three holders arrive, kept for seven seconds.
func BenchmarkStoreMemory(b *testing.B) {
	const perSecond, records, milliseconds = 29 * 4, 29 * 4 * 7, 7_000
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewStore()
		for n := range 3 * records {
			s.Put(clock.Millis(n*1_000/perSecond), KeyOf("", "r", fmt.Sprint(n)), v1, milliseconds)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		b.ReportMetric(float64(s.Len()), "records")
	}
}
