package engine

import (
	"io"

	"github.com/pkg/errors"
)

// Cause turns an error into the short reason that is shown and kept.
func Cause(err error) string {
	switch {
	case errors.Is(err, ErrGap):
		return "gap"
	case errors.Is(err, ErrShort):
		return "short"
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrLineTooLong):
		return "garbage"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "cut"
	default:
		return "broken"
	}
}
