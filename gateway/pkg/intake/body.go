package intake

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// minBodyBuffer is the size of the first buffer for a body, in bytes. It grows as the body arrives: an announced length
// takes no memory.
const minBodyBuffer = 4 << 10

// ReadBody reads a request's body into memory of its hold. length is the announced length, negative if unknown, and limit
// the largest size of a body; the reader fails beyond it. It fails with ErrMemoryFull or ErrEvicted if there is too little
// memory.
func ReadBody(ctx context.Context, hold *Hold, r io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		limit = length
	}
	var body []byte
	// The end of a body that fills its buffer exactly is found without a larger one.
	var next [1]byte
	for {
		free := body[len(body):cap(body)]
		full := len(free) == 0
		if full {
			free = next[:]
		}
		n, err := r.Read(free)
		if full && n > 0 {
			var growErr error
			if body, growErr = growBody(ctx, hold, body, limit); growErr != nil {
				return nil, growErr
			}
			body = append(body, next[0])
		} else if !full {
			body = body[:len(body)+n]
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns a body in a buffer of twice the size, up to the limit of the body.
func growBody(ctx context.Context, hold *Hold, body []byte, limit int64) ([]byte, error) {
	before := int64(cap(body))
	size := min(max(2*before, minBodyBuffer), max(limit, before+1))
	if err := hold.Grow(ctx, size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	hold.Shrink(before)
	return grown, nil
}
