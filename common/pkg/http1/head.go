// Package http1 decides which answers of HTTP/1.1 servers are sound. The standard library's reader is lenient: it reads
// what two readers may understand differently, and callers would get a body that isn't the server's.
package http1

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

var (
	errStatus      = errors.New("the answer has no valid status")
	errInterimBody = errors.New("an interim answer announces a body")
)

// IsInterim reports whether another answer to the same request follows one with this status (RFC 9110, section 15.2).
// Nobody here asks for another protocol, so a switch to one is no interim answer.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckHead returns an error if no answer may have this status and header. Statuses of 600 and more are errors that the
// caller gets unchanged.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK && !IsInterim(status) {
		return fmt.Errorf("%w: %d", errStatus, status)
	}
	// An interim answer has no body. What it announces would be read as the next answer's head.
	if length := header.Get("Content-Length"); IsInterim(status) && length != "" && length != "0" {
		return fmt.Errorf("%w of %s bytes", errInterimBody, length)
	}
	return nil
}
