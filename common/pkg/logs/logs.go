// Package logs provides the logger of a process. It writes JSON lines to standard output, with a
// bounded queue, and never blocks.
package logs

import (
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Keys that all processes share, so that one search finds an id in all logs.
const (
	KeyRequest     = "request"
	KeyJob         = "job"
	KeyItem        = "item"
	KeyLease       = "lease"
	KeyTerm        = "term"
	KeyGroup       = "group"
	KeyFingerprint = "content"
	KeyParts       = "parts"
	KeyPart        = "part"
	KeyError       = "error"
	KeyEvent       = "event"
)

// Events in the course of a request, an item or a job. docs/OPERATIONS.md lists them with the keys of
// their lines.
const (
	EventRequestEnded    = "request-ended"
	EventRequestRetried  = "request-goes-elsewhere"
	EventResumeRequested = "resume-requested"
	EventCallBroke       = "call-broke"
	EventRunnerCrashed   = "runner-crashed"
	EventPartsUnreadable = "prompt-parts-unreadable"
	// Lines about a part of prompts that may crash runners, which name it under KeyPart at each daemon.
	EventPartCrashLearned = "part-crash-learned"
	EventPartTried        = "part-tried"
	EventRequestTried     = "request-tried"
	EventPartTrialLearned = "part-trial-learned"
	EventPartQuarantined  = "part-quarantined"
	EventPartCleared      = "part-cleared"
	EventItemPaused       = "item-paused"
	EventItemMoved        = "item-moved"
	EventItemRestarted    = "item-restarted"
	EventItemEnded        = "item-call-ended"
	EventJobAnswered      = "job-answered"
)

// Config configures a logger.
type Config struct {
	Program string
	Name    string
	// Level is debug, info, warn or error; anything else means info.
	Level  string
	Writer io.Writer
}

// New returns a logger that writes JSON lines to config.Writer.
func New(config Config) log.Logger {
	return Wrap(config, log.NewJSONLogger(log.NewSyncWriter(config.Writer)))
}

// Wrap returns a logger that passes its lines to l.
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
