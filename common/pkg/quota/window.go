package quota

import "toucanhinge.example/common/pkg/clock"

// buckets is the number of buckets of a window. Requests leave the window up to one bucket late,
// so a team at its limit gets a fiftieth less than it may.
const buckets = 50

// window counts the requests of a sliding time window. Counts may be fractional, since a change
// of the limit scales them.
type window struct {
	// bucketLength is the duration of a bucket.
	bucketLength clock.Millis
	// newest is the number of the newest bucket, counted from the zero time of the clock.
	newest int64
	counts [buckets + 1]float32
	total  float32
}

func newWindow(length clock.Millis) *window {
	return &window{bucketLength: max((length+buckets-1)/buckets, 1)}
}

// advance removes the buckets that have left the window.
func (w *window) advance(now clock.Millis) {
	at := int64(now / w.bucketLength)
	if at <= w.newest {
		return
	}
	if at-w.newest > int64(buckets) {
		w.counts, w.total, w.newest = [buckets + 1]float32{}, 0, at
		return
	}
	for w.newest < at {
		w.newest++
		w.total -= w.counts[w.index(w.newest)]
		w.counts[w.index(w.newest)] = 0
	}
	if w.total < 0 {
		w.total = 0
	}
}

func (w *window) index(bucket int64) int {
	const all = buckets + 1
	return int((bucket%all + all) % all)
}

// add counts requests at the time at, and ignores a time before the window.
func (w *window) add(now, at clock.Millis, count float32) {
	w.advance(now)
	bucket := min(int64(at/w.bucketLength), w.newest)
	if w.newest-bucket > int64(buckets) {
		return
	}
	w.counts[w.index(bucket)] += count
	w.total += count
}

// spread counts requests that arrived at unknown times within the last duration.
func (w *window) spread(now, duration clock.Millis, count float32) {
	w.advance(now)
	covered := max(int64(duration/w.bucketLength), 1)
	for n := range min(covered, int64(buckets+1)) {
		w.counts[w.index(w.newest-n)] += count / float32(covered)
		w.total += count / float32(covered)
	}
}

// subtract removes requests whose time is unknown, from the newest bucket first.
func (w *window) subtract(now clock.Millis, count float32) {
	w.advance(now)
	for n := int64(0); n <= int64(buckets) && count > 0; n++ {
		i := w.index(w.newest - n)
		removed := min(count, w.counts[i])
		w.counts[i] -= removed
		w.total -= removed
		count -= removed
	}
}

func (w *window) scale(factor float32) {
	w.total = 0
	for i := range w.counts {
		w.counts[i] *= factor
		w.total += w.counts[i]
	}
}

// sum returns the number of requests in the window.
func (w *window) sum(now clock.Millis) float64 {
	w.advance(now)
	return float64(w.total)
}

// recent returns the number of requests in the newest buckets.
func (w *window) recent(now clock.Millis, count int64) float64 {
	w.advance(now)
	sum := float32(0)
	for n := range count {
		sum += w.counts[w.index(w.newest-n)]
	}
	return float64(sum)
}

// timeToFit returns the time until the wanted number of requests fits into the window under a
// limit.
func (w *window) timeToFit(now clock.Millis, limit, wanted float64) clock.Millis {
	w.advance(now)
	left := float64(w.total)
	for n := int64(buckets); n >= 0; n-- {
		if left+wanted <= limit {
			break
		}
		left -= float64(w.counts[w.index(w.newest-n)])
		if left+wanted <= limit {
			return clock.Millis(w.newest-n+int64(buckets)+1)*w.bucketLength - now
		}
	}
	if left+wanted <= limit {
		return 0
	}
	return w.bucketLength * (buckets + 1)
}
