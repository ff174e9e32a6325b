// Package http1 decides which answers of HTTP/1.1 servers are sound. The standard library's reader is lenient: it reads
// what two readers may understand differently, and callers would get a body that isn't the server's.
package http1

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

var (
	errStatus      = errors.New("the answer has no valid status")
	errFieldName   = errors.New("the answer has an invalid field name")
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
	if err := CheckNames(header); err != nil {
		return err
	}
	// An interim answer has no body. What it announces would be read as the next answer's head.
	if length := header.Get("Content-Length"); IsInterim(status) && length != "" && length != "0" {
		return fmt.Errorf("%w of %s bytes", errInterimBody, length)
	}
	return nil
}

// Unframed reports whether only the end of the connection ends an answer.
func Unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// CheckNames returns an error if the header or trailer has a name that isn't one. The standard library accepts names with
// blanks, among them "Transfer-Encoding ", which another reader may take for the field that frames the body.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", errFieldName, name)
		}
	}
	return nil
}
