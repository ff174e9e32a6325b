// Package settings reads a program's TOML settings strictly: every fault is
// named with file, key and reason, and all faults are told at once.
package settings

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	// File is the path as given on the command line.
	File string
	// Key is the dotted key, or empty when the file as a whole is at fault.
	Key string
	// Reason says what is wrong and what would be right.
	Reason string
}

func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.Reason)
}

// Error holds every fault found in one file.
type Error struct {
	Faults []Fault
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Check collects faults while a program validates its settings.
type Check struct {
	file   string
	faults []Fault
}

// Fail notes a fault of one key.
func (c *Check) Fail(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{File: c.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Require notes a fault unless the condition holds.
func (c *Check) Require(holds bool, key, format string, args ...any) {
	if !holds {
		c.Fail(key, format, args...)
	}
}

// Address notes a fault unless the value is host:port with a literal IP.
func (c *Check) Address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.Fail(key, "want IP:port, got %q", value)
		return
	}
	c.Require(net.ParseIP(host) != nil, key, "want a literal IP, got host %q", host)
	c.Require(port != "", key, "the port is missing in %q", value)
}

// decodeMessage takes the line, the key and the reason out of the library's
// message; the library exports the key of syntax errors only.
var decodeMessage = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// Load decodes the file over the defaults in target, refuses unknown keys, then
// runs the program's own validation. The error is an *Error.
func Load[T any](file string, target *T, validate func(*Check, *T)) error {
	check := &Check{file: file}
	text, err := os.ReadFile(file)
	if err != nil {
		check.Fail("", "can't be read: %v", errors.Cause(err))
		return &Error{Faults: check.faults}
	}
	meta, err := toml.Decode(string(text), target)
	if err != nil {
		check.decodeFault(err)
		return &Error{Faults: check.faults}
	}
	for _, key := range meta.Undecoded() {
		check.Fail(key.String(), "unknown key")
	}
	validate(check, target)
	if len(check.faults) == 0 {
		return nil
	}
	sort.SliceStable(check.faults, func(i, j int) bool { return check.faults[i].Key < check.faults[j].Key })
	return &Error{Faults: check.faults}
}

func (c *Check) decodeFault(err error) {
	parts := decodeMessage.FindStringSubmatch(err.Error())
	if parts == nil {
		c.Fail("", "%v", err)
		return
	}
	c.Fail(parts[2], "line %s: %s", parts[1], parts[3])
}
