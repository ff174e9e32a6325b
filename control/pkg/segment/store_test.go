package segment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func timed(_ testing.TB, run func()) float64 {
	start := time.Now()
	run()
	return time.Since(start).Seconds()
}

// filled is a store of some small files and the places of its records.
func filled(t *testing.T, folder string) (*Store, []Ref, []*toucanhingev1.Segment) {
	s := New(Config{Folder: folder, Name: "items", MaxFileBytes: 100})
	require.NoError(t, s.Load(nil))
	t.Cleanup(s.Close)
	var refs []Ref
	for n := range 20 {
		ref, err := s.Append(fmt.Appendf(nil, "record %d", n))
		require.NoError(t, err)
		refs = append(refs, ref)
	}
	require.NoError(t, s.Flush())
	list, err := s.Checkpoint()
	require.NoError(t, err)
	require.Greater(t, len(list), 2)
	return s, refs, list
}

// TestDamageIsNeverReadPast changes the files of a store behind its back. A
// reader gets an error that names the file, never another record's content.
func TestDamageIsNeverReadPast(t *testing.T) {
	scenarios := []struct {
		name   string
		damage func(t *testing.T, path string)
		load   bool
	}{
		{"a bit of the content", func(t *testing.T, path string) { flip(t, path, headerBytes+2) }, true},
		{"a bit of the checksum", func(t *testing.T, path string) { flip(t, path, 5) }, true},
		{"the length", func(t *testing.T, path string) { flip(t, path, 0) }, true},
		{"cut short", func(t *testing.T, path string) { require.NoError(t, os.Truncate(path, 9)) }, false},
		{"gone", func(t *testing.T, path string) { require.NoError(t, os.Remove(path)) }, false},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			s, refs, list := filled(t, folder)
			c.damage(t, filepath.Join(folder, "items-00000001.seg"))
			again := New(Config{Folder: folder, Name: "items", MaxFileBytes: 100})
			t.Cleanup(again.Close)
			err := again.Load(list)
			require.Equal(t, c.load, err == nil, "%v", err)
			if err == nil {
				_, err = s.Read(refs[0])
			}
			require.ErrorContains(t, err, "items-00000001.seg")
			if c.load {
				require.ErrorIs(t, err, ErrDamaged)
			}
		})
	}
}

func flip(t *testing.T, path string, at int) {
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[at] ^= 1
	require.NoError(t, os.WriteFile(path, content, 0o600))
}

// TestReadManyKeepsTheOrderAskedFor reads records of many sizes, backwards and
// twice, some of them longer than what is read behind a run's last record.
func TestReadManyKeepsTheOrderAskedFor(t *testing.T) {
	s := New(Config{Folder: t.TempDir(), Name: "items", MaxFileBytes: 50_000})
	require.NoError(t, s.Load(nil))
	t.Cleanup(s.Close)
	var refs []Ref
	var want [][]byte
	for n := range 200 {
		payload := bytes.Repeat([]byte{byte(n)}, n*n%9_000)
		ref, err := s.Append(payload)
		require.NoError(t, err)
		refs, want = append([]Ref{ref}, refs...), append([][]byte{payload}, want...)
	}
	require.NoError(t, s.Flush())
	refs, want = append(refs, refs[3]), append(want, want[3])
	got, err := s.ReadMany(refs)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = s.ReadMany([]Ref{refs[0], refOf(99, 0)})
	require.ErrorIs(t, err, ErrGone)
	flip(t, s.path(refs[5].File()), int(refs[5].offset())+headerBytes)
	_, err = s.ReadMany(refs)
	require.ErrorIs(t, err, ErrDamaged)
}

// TestLoadGoesBackToTheCheckpoint appends after a checkpoint and crashes. The
// log's replay appends the same again, and must find the same places.
func TestLoadGoesBackToTheCheckpoint(t *testing.T) {
	folder := t.TempDir()
	s, refs, list := filled(t, folder)
	var after []Ref
	for range 10 {
		ref, err := s.Append([]byte("after"))
		require.NoError(t, err)
		after = append(after, ref)
	}
	require.NoError(t, s.Flush())
	s.Close()
	_, err := s.Read(refs[0])
	require.ErrorIs(t, err, ErrGone)

	again := New(Config{Folder: folder, Name: "items", MaxFileBytes: 100})
	t.Cleanup(again.Close)
	require.NoError(t, again.Load(list))
	for n := range 10 {
		ref, err := again.Append([]byte("after"))
		require.NoError(t, err)
		require.Equal(t, after[n], ref)
	}
	require.NoError(t, again.Flush())
	for n, ref := range refs {
		payload, err := again.Read(ref)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("record %d", n), string(payload))
	}
}

// TestDroppedFilesOutliveOneCheckpoint: a restart loads the last durable
// checkpoint, so a file that this one names must still be there.
func TestDroppedFilesOutliveOneCheckpoint(t *testing.T) {
	folder := t.TempDir()
	s, refs, _ := filled(t, folder)
	first := filepath.Join(folder, "items-00000001.seg")
	for _, ref := range refs {
		if ref.File() == 1 {
			s.Release(1, 1)
		}
	}
	list, err := s.Checkpoint()
	require.NoError(t, err)
	require.NotEqual(t, uint32(1), list[0].GetNumber())
	require.FileExists(t, first)
	_, err = s.Checkpoint()
	require.NoError(t, err)
	require.NoFileExists(t, first)
	_, err = s.Read(refs[0])
	require.ErrorIs(t, err, ErrGone)
}

// TestShippedFilesAreWhole cuts the transfer to a replica at every tenth byte.
func TestShippedFilesAreWhole(t *testing.T) {
	s, refs, list := filled(t, t.TempDir())
	var wire bytes.Buffer
	require.NoError(t, s.Export(list, &wire))
	for cut := 0; cut < wire.Len(); cut += 10 {
		other := New(Config{Folder: t.TempDir(), Name: "items"})
		require.Error(t, other.Import(list, bytes.NewReader(wire.Bytes()[:cut])))
	}
	other := New(Config{Folder: t.TempDir(), Name: "items"})
	t.Cleanup(other.Close)
	require.NoError(t, other.Import(list, bytes.NewReader(wire.Bytes())))
	require.NoError(t, other.Load(list))
	for n, ref := range refs {
		payload, err := other.Read(ref)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("record %d", n), string(payload))
	}
}
