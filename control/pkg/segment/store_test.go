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

// newFilledStore returns a store of several small files, the locations of its records, and
// the segments of its checkpoint.
func newFilledStore(t *testing.T, folder string) (*Store, []Ref, []*toucanhingev1.Segment) {
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

// TestReadRejectsDamagedFile damages a file of an open store. Load or Read must return an
// error that names the file, never the content of another record.
func TestReadRejectsDamagedFile(t *testing.T) {
	scenarios := []struct {
		name   string
		damage func(t *testing.T, path string)
		load   bool
	}{
		{"flipped bit in the payload", func(t *testing.T, path string) { flipBit(t, path, headerBytes+2) }, true},
		{"flipped bit in the checksum", func(t *testing.T, path string) { flipBit(t, path, 5) }, true},
		{"flipped bit in the length", func(t *testing.T, path string) { flipBit(t, path, 0) }, true},
		{"truncated file", func(t *testing.T, path string) { require.NoError(t, os.Truncate(path, 9)) }, false},
		{"deleted file", func(t *testing.T, path string) { require.NoError(t, os.Remove(path)) }, false},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			s, refs, list := newFilledStore(t, folder)
			c.damage(t, filepath.Join(folder, "items-00000001.seg"))
			reopened := New(Config{Folder: folder, Name: "items", MaxFileBytes: 100})
			t.Cleanup(reopened.Close)
			err := reopened.Load(list)
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

func flipBit(t *testing.T, path string, at int) {
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[at] ^= 1
	require.NoError(t, os.WriteFile(path, content, 0o600))
}

// TestReadManyReturnsRequestedOrder reads records of many sizes in reverse order, one of
// them twice. Some are longer than readAheadBytes.
func TestReadManyReturnsRequestedOrder(t *testing.T) {
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
	_, err = s.ReadMany([]Ref{refs[0], newRef(99, 0)})
	require.ErrorIs(t, err, ErrGone)
	flipBit(t, s.path(refs[5].File()), int(refs[5].offset())+headerBytes)
	_, err = s.ReadMany(refs)
	require.ErrorIs(t, err, ErrDamaged)
}

// TestLoadRestoresCheckpoint appends records after a checkpoint and crashes. The replay of
// the log appends the same records again, which must get the same locations.
func TestLoadRestoresCheckpoint(t *testing.T) {
	folder := t.TempDir()
	s, refs, list := newFilledStore(t, folder)
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

	reopened := New(Config{Folder: folder, Name: "items", MaxFileBytes: 100})
	t.Cleanup(reopened.Close)
	require.NoError(t, reopened.Load(list))
	for n := range 10 {
		ref, err := reopened.Append([]byte("after"))
		require.NoError(t, err)
		require.Equal(t, after[n], ref)
	}
	require.NoError(t, reopened.Flush())
	for n, ref := range refs {
		payload, err := reopened.Read(ref)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("record %d", n), string(payload))
	}
}

// TestDroppedFilesAreDeletedAtSecondCheckpoint checks that a file without live records
// still exists after the next checkpoint. Until that checkpoint is durable, a restart
// loads the one before it, which lists the file.
func TestDroppedFilesAreDeletedAtSecondCheckpoint(t *testing.T) {
	folder := t.TempDir()
	s, refs, _ := newFilledStore(t, folder)
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

// TestImportRejectsTruncatedTransfer truncates the transfer to a replica at every tenth
// byte, and checks that a complete transfer is readable.
func TestImportRejectsTruncatedTransfer(t *testing.T) {
	s, refs, list := newFilledStore(t, t.TempDir())
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
