package replica

import (
	"bytes"
	"context"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// lockedBuffer is a buffer for log lines of several goroutines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against a slow disk that can't be told from a process that got no processor time: a candidate whose sync took two
// seconds left no line of it.
func TestSlowSyncIsLogged(t *testing.T) {
	var slow atomic.Bool
	lines := &lockedBuffer{}
	cl := newCluster(t, 1, func(c *Config) {
		c.Logger = log.NewJSONLogger(lines)
		c.Disk.Sync = func(file *os.File) error {
			if slow.Load() {
				time.Sleep(slowSyncThreshold)
			}
			return file.Sync()
		}
	})
	leader := cl.leader()
	_, err := leader.group.Propose(context.Background(), []byte("fast"))
	require.NoError(t, err)
	slow.Store(true)
	_, err = leader.group.Propose(context.Background(), []byte("slow"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return bytes.Contains([]byte(lines.String()), []byte(`"slow_sync"`)) }, time.Second, 5*time.Millisecond)
}
