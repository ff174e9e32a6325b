package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanhinge.example/control/pkg/consensus"
)

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func persist(term uint64, entries ...consensus.Entry) consensus.Persist {
	return consensus.Persist{State: consensus.HardState{Term: term, Vote: "somebody"}, Entries: entries}
}

func mustOpen(t testing.TB, config Config) (*Log, Content) {
	l, content, err := Open(config)
	require.NoError(t, err)
	return l, content
}

func lastFile(t testing.TB, folder string) string {
	paths, err := filepath.Glob(filepath.Join(folder, "log-*"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	return paths[len(paths)-1]
}

func TestOpenReturnsAppendedEntries(t *testing.T) {
	folder := t.TempDir()
	l, content := mustOpen(t, Config{Folder: folder})
	require.Equal(t, Content{}, content)
	require.NoError(t, l.Append(persist(1, entry(1, 1), entry(2, 1), entry(3, 1)), persist(2)))
	require.NoError(t, l.Append(persist(2, entry(3, 2), entry(4, 2))))
	require.NoError(t, l.Close())
	l, content = mustOpen(t, Config{Folder: folder})
	require.Equal(t, consensus.HardState{Term: 2, Vote: "somebody"}, content.State)
	require.Equal(t, []consensus.Entry{entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2)}, content.Entries)
	require.NoError(t, l.Append(persist(2, entry(5, 2))))
	require.NoError(t, l.Close())
	_, content = mustOpen(t, Config{Folder: folder})
	require.Equal(t, uint64(5), content.LastIndex())
}

// TestAppendSyncsOnceForAllPersists checks that the entries of several persists, which
// collect while an earlier sync runs, are made durable by one sync.
func TestAppendSyncsOnceForAllPersists(t *testing.T) {
	syncs := 0
	l, _ := mustOpen(t, Config{Folder: t.TempDir(), Sync: func(f *os.File) error {
		syncs++
		return f.Sync()
	}})
	syncs = 0
	require.NoError(t, l.Append(persist(1, entry(1, 1), entry(2, 1)), persist(2), persist(2, entry(3, 2))))
	require.Equal(t, 1, syncs)
}

func TestDropBeforeRemovesOldFiles(t *testing.T) {
	folder := t.TempDir()
	config := Config{Folder: folder, FileBytes: 200}
	l, _ := mustOpen(t, config)
	for i := uint64(1); i <= 40; i++ {
		require.NoError(t, l.Append(persist(3, entry(i, 3))))
	}
	files := len(l.files)
	require.Greater(t, files, 5)
	require.NoError(t, l.DropBefore(20))
	require.Less(t, len(l.files), files)
	require.NoError(t, l.Close())
	_, content := mustOpen(t, config)
	require.LessOrEqual(t, content.Base.Index, uint64(20))
	require.Positive(t, content.Base.Index)
	require.Equal(t, uint64(3), content.Base.Term)
	require.Equal(t, consensus.HardState{Term: 3, Vote: "somebody"}, content.State)
	require.Equal(t, uint64(40), content.LastIndex())
	require.Equal(t, entry(40, 3), content.Entries[len(content.Entries)-1])
}

// Guards against a VM that can't start after a power loss that undid the removal of an old file but not that of a newer
// one: no two removals may be undone independently.
func TestRemovedFilesAreSyncedOneByOne(t *testing.T) {
	for _, c := range []struct {
		name   string
		remove func(*Log) error
	}{
		{"after a checkpoint", func(l *Log) error { return l.DropBefore(20) }},
		{"after a reset", func(l *Log) error {
			reset := persist(4)
			reset.Reset = &consensus.Base{Index: 50, Term: 3}
			return l.Append(reset)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			config := Config{Folder: folder, FileBytes: 200}
			present := func() map[string]bool {
				entries, err := os.ReadDir(folder)
				require.NoError(t, err)
				names := map[string]bool{}
				for _, e := range entries {
					names[e.Name()] = true
				}
				return names
			}
			durable, removals := map[string]bool{}, 0
			countRemoved := func() {
				now, removed := present(), 0
				for name := range durable {
					if strings.HasPrefix(name, "log-") && !now[name] {
						removed++
					}
				}
				require.LessOrEqual(t, removed, 1)
				durable = now
				removals += removed
			}
			config.Sync = func(f *os.File) error {
				if f.Name() == folder {
					countRemoved()
				}
				return f.Sync()
			}
			l, _ := mustOpen(t, config)
			for i := uint64(1); i <= 40; i++ {
				require.NoError(t, l.Append(persist(3, entry(i, 3))))
			}
			require.NoError(t, c.remove(l))
			countRemoved()
			require.Greater(t, removals, 2)
		})
	}
}

func TestResetDiscardsEarlierEntries(t *testing.T) {
	folder := t.TempDir()
	l, _ := mustOpen(t, Config{Folder: folder})
	require.NoError(t, l.Append(persist(1, entry(1, 1), entry(2, 1))))
	reset := persist(4, entry(51, 4))
	reset.Reset = &consensus.Base{Index: 50, Term: 3}
	require.NoError(t, l.Append(persist(2, entry(3, 2)), reset))
	require.NoError(t, l.Close())
	_, content := mustOpen(t, Config{Folder: folder})
	require.Equal(t, consensus.Base{Index: 50, Term: 3}, content.Base)
	require.Equal(t, []consensus.Entry{entry(51, 4)}, content.Entries)
	require.Equal(t, uint64(4), content.State.Term)
}

// TestOpenTruncatesTornTail simulates a crash that leaves part of the last write, nothing
// of it, or a hole in it. The write was never acknowledged, so Open truncates its
// unreadable part, and the log continues from there.
func TestOpenTruncatesTornTail(t *testing.T) {
	scenarios := []struct {
		name string
		tear func(data []byte, synced int) []byte
		left uint64
	}{
		{name: "cut in a header", tear: func(d []byte, synced int) []byte { return d[:synced+5] }, left: 2},
		{name: "cut in a payload", tear: func(d []byte, synced int) []byte { return d[:synced+30] }, left: 2},
		{name: "last byte missing", tear: func(d []byte, _ int) []byte { return d[:len(d)-1] }, left: 3},
		{name: "zeros", tear: func(d []byte, synced int) []byte { clear(d[synced:]); return d }, left: 2},
		{name: "hole before a whole record", tear: func(d []byte, synced int) []byte { clear(d[synced : synced+8]); return d }, left: 2},
		{name: "garbage after the last record", tear: func(d []byte, _ int) []byte { return append(d, "garbage"...) }, left: 4},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := mustOpen(t, Config{Folder: folder})
			require.NoError(t, l.Append(persist(1, entry(1, 1), entry(2, 1))))
			synced := int(l.synced)
			require.NoError(t, l.Append(persist(1, entry(3, 1), entry(4, 1))))
			require.NoError(t, l.Close())
			path := lastFile(t, folder)
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, sc.tear(data, synced), 0o600))
			l, content := mustOpen(t, Config{Folder: folder})
			require.Equal(t, sc.left, content.LastIndex())
			require.NoError(t, l.Append(persist(1, entry(sc.left+1, 1))))
			require.NoError(t, l.Close())
			_, content = mustOpen(t, Config{Folder: folder})
			require.Equal(t, sc.left+1, content.LastIndex())
		})
	}
}

// TestOpenRejectsDamagedFile damages records that were synced and acknowledged. Truncating
// them like a torn tail would lose acknowledged entries silently, so Open must return an
// error that names the file and the offset.
func TestOpenRejectsDamagedFile(t *testing.T) {
	scenarios := []struct {
		name   string
		file   int
		damage func(data []byte, at int) []byte
	}{
		{name: "flipped bit in a payload", file: -1, damage: func(d []byte, at int) []byte { d[at+frameHeaderSize+3] ^= 4; return d }},
		{name: "flipped bit in a length", file: -1, damage: func(d []byte, at int) []byte { d[at+lengthOffset+2] ^= 4; return d }},
		{name: "zeroed page", file: -1, damage: func(d []byte, at int) []byte { clear(d[at : at+40]); return d }},
		{name: "cut in an earlier file", file: 0, damage: func(d []byte, at int) []byte { return d[:at+10] }},
		{name: "first record of a file", file: -1, damage: func(d []byte, _ int) []byte { d[2] ^= 1; return d }},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			folder := t.TempDir()
			config := Config{Folder: folder, FileBytes: 400}
			l, _ := mustOpen(t, config)
			starts := map[int][]int64{}
			for i := uint64(1); i <= 15; i++ {
				starts[len(l.files)-1] = append(starts[len(l.files)-1], l.synced)
				require.NoError(t, l.Append(persist(1, entry(i, 1))))
			}
			file := sc.file
			if file < 0 {
				file = len(l.files) - 1
			}
			require.GreaterOrEqual(t, len(starts[file]), 2)
			path := l.files[file].path(folder)
			require.NoError(t, l.Close())
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, sc.damage(data, int(starts[file][0])), 0o600))
			_, _, err = Open(config)
			var damage *DamageError
			require.ErrorAs(t, err, &damage)
			require.Equal(t, path, damage.File)
			require.Contains(t, err.Error(), path)
		})
	}
}

func TestOpenRejectsMissingFile(t *testing.T) {
	folder := t.TempDir()
	config := Config{Folder: folder, FileBytes: 100}
	l, _ := mustOpen(t, config)
	for i := uint64(1); i <= 10; i++ {
		require.NoError(t, l.Append(persist(1, entry(i, 1))))
	}
	require.NoError(t, l.Close())
	require.NoError(t, os.Remove(l.files[2].path(folder)))
	_, _, err := Open(config)
	var damage *DamageError
	require.ErrorAs(t, err, &damage)
}

var errDisk = errors.New("disk failure")

// TestAppendFailureIsPermanent simulates a disk that fails once and works afterwards. The
// log must accept no more writes, since the failed data is missing, and a restart must
// find only the acknowledged entries.
func TestAppendFailureIsPermanent(t *testing.T) {
	scenarios := []struct {
		name  string
		write func(*os.File, []byte) (int, error)
		sync  func(*os.File) error
	}{
		{name: "disk full", write: func(*os.File, []byte) (int, error) { return 0, errDisk }},
		{name: "disk full in the middle", write: func(f *os.File, p []byte) (int, error) {
			n, _ := f.Write(p[:len(p)/2])
			return n, errDisk
		}},
		{name: "short write without an error", write: func(f *os.File, p []byte) (int, error) { return f.Write(p[:len(p)-3]) }},
		{name: "failed sync", sync: func(*os.File) error { return errDisk }},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			failing := false
			config := Config{Folder: t.TempDir()}
			config.Write = func(f *os.File, p []byte) (int, error) {
				if failing && sc.write != nil {
					return sc.write(f, p)
				}
				return f.Write(p)
			}
			config.Sync = func(f *os.File) error {
				if failing && sc.sync != nil {
					return sc.sync(f)
				}
				return f.Sync()
			}
			l, _ := mustOpen(t, config)
			require.NoError(t, l.Append(persist(1, entry(1, 1))))
			failing = true
			err := l.Append(persist(2, entry(2, 2)))
			var failed *FailedError
			require.ErrorAs(t, err, &failed)
			failing = false
			require.Equal(t, err, l.Append(persist(2, entry(2, 2))))
			require.NoError(t, l.Close())
			_, content := mustOpen(t, config)
			require.Equal(t, uint64(1), content.LastIndex())
			require.Equal(t, uint64(1), content.State.Term)
		})
	}
}

func TestWriteFileReplacesWholeFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	_, err := ReadFile(path)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, WriteFile(path, []byte("old")))
	require.NoError(t, WriteFile(path, []byte("new content")))
	data, err := ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "new content", string(data))
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	raw[len(raw)-1] ^= 1
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	_, err = ReadFile(path)
	var damage *DamageError
	require.ErrorAs(t, err, &damage)
}

// TestFuzzCrash simulates crashes at any time, including between write and sync, when any
// part of the last write may be on the disk. After a restart, the log must contain all
// acknowledged entries, and none that were never appended.
func TestFuzzCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		require.NoError(t, err)
		config := Config{Folder: folder, FileBytes: 500}
		l, _ := mustOpen(t, config)
		var model []consensus.Entry
		base, term := uint64(0), uint64(1)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				term++
			case 1:
				require.NoError(t, l.Close())
				writeTornTail(rt, t, l, consensus.Persist{
					State:   consensus.HardState{Term: term, Vote: "somebody"},
					Entries: []consensus.Entry{entry(base+uint64(len(model))+1, term)},
				})
				var content Content
				l, content = mustOpen(t, config)
				model = checkContent(t, model, base, content)
			case 2:
				drop := base + uint64(rapid.IntRange(0, len(model)).Draw(rt, "drop"))
				require.NoError(t, l.DropBefore(drop))
				first := l.files[0].base.Index
				model, base = model[first-base:], first
			default:
				at := rapid.IntRange(0, len(model)).Draw(rt, "at")
				if len(model)-at > 3 {
					at = len(model)
				}
				model = model[:at:at]
				var added []consensus.Entry
				for range rapid.IntRange(1, 4).Draw(rt, "entries") {
					added = append(added, entry(base+uint64(len(model)+len(added))+1, term))
				}
				require.NoError(t, l.Append(persist(term, added...)))
				model = append(model, added...)
			}
		}
		require.NoError(t, l.Close())
		_, content := mustOpen(t, config)
		checkContent(t, model, base, content)
	})
}

// writeTornTail writes a random part of the data of a next Append, maybe with a damaged
// byte.
func writeTornTail(rt *rapid.T, t *testing.T, l *Log, p consensus.Persist) {
	frames := l.appendFrames(nil, p)
	part := frames[:rapid.IntRange(0, len(frames)).Draw(rt, "written")]
	if len(part) > 0 && rapid.Bool().Draw(rt, "hole") {
		part[rapid.IntRange(0, len(part)-1).Draw(rt, "at")] ^= 0x55
	}
	file, err := os.OpenFile(lastFile(t, l.config.Folder), os.O_WRONLY|os.O_APPEND, 0)
	require.NoError(t, err)
	_, err = file.Write(part)
	require.NoError(t, err)
	require.NoError(t, file.Close())
}

// checkContent compares the entries with the model. The log may contain one entry more
// than was acknowledged, if it was written completely just before the crash.
func checkContent(t *testing.T, model []consensus.Entry, base uint64, content Content) []consensus.Entry {
	require.Equal(t, base, content.Base.Index)
	require.GreaterOrEqual(t, len(content.Entries), len(model))
	require.LessOrEqual(t, len(content.Entries), len(model)+1)
	for i, e := range model {
		require.Equal(t, e, content.Entries[i])
	}
	return content.Entries[:len(content.Entries):len(content.Entries)]
}
