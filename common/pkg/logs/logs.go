// Package logs makes the one logger of a process: JSON lines on standard output,
// bounded and never blocking.
package logs

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Keys that every process uses alike, so that one search finds a thing everywhere.
const (
	KeyRequest = "request"
	KeyJob     = "job"
	KeyItem    = "item"
	KeyLease   = "lease"
	KeyTerm    = "term"
	KeyGroup   = "group"
	KeyFingerprint = "content"
	KeyError   = "error"
	KeyEvent   = "event"
)

// Events that follow a request, an item or a job; docs/OPERATIONS.md lists them
// with the keys of their lines.
const (
	EventRequestEnded     = "request-ended"
	EventRequestElsewhere = "request-goes-elsewhere"
	EventRunnerCrashed    = "runner-crashed"
	EventItemPaused       = "item-paused"
	EventItemEnded        = "item-call-ended"
	EventJobAnswered      = "job-answered"
)

// Config describes the logger.
type Config struct {
	Program string
	Name    string
	// Level is debug, info, warn or error; anything else means info.
	Level  string
	Writer io.Writer
}

// New makes the logger.
func New(config Config) log.Logger {
	return Wrap(config, log.NewJSONLogger(log.NewSyncWriter(config.Writer)))
}

// Wrap makes the logger over one that writes the lines.
func Wrap(config Config, l log.Logger) log.Logger {
	l = log.With(l, "at", log.TimestampFormat(time.Now, time.RFC3339Nano), "program", config.Program, "name", config.Name)
	return level.NewFilter(l, allow(config.Level))
}

func allow(name string) level.Option {
	switch name {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	default:
		return level.AllowInfo()
	}
}
