package jobstate

import (
	"encoding/binary"
	"fmt"
	"slices"

	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// pageItems is the number of items per page. Results are read, and finished
	// jobs sealed, one page at a time.
	pageItems = 512
	// refPairBytes is the size of the two references to one item's body and result.
	refPairBytes = 16
)

// seal is the part of a finished job that stays in memory. Finished jobs are
// retained for days, and the references to all their items would take far more
// memory than the running jobs. The references are therefore written to the result
// segments, one record per page.
type seal struct {
	index   []segment.Ref
	bodies  []*toucanhingev1.FileCount
	results []*toucanhingev1.FileCount
}

func (s *State) seal(j *job) {
	sealed := &seal{}
	for first := 0; first < len(j.items); first += pageItems {
		var refs []byte
		for _, i := range j.items[first:min(first+pageItems, len(j.items))] {
			refs = binary.LittleEndian.AppendUint64(refs, uint64(i.body))
			refs = binary.LittleEndian.AppendUint64(refs, i.leaseOrResult)
		}
		sealed.index = append(sealed.index, s.config.AppendIndex(refs))
	}
	sealed.bodies = countFiles(j.items, func(i *item) segment.Ref { return i.body })
	sealed.results = countFiles(j.items, func(i *item) segment.Ref { return segment.Ref(i.leaseOrResult) })
	j.sealed, j.items, j.returned = sealed, nil, nil
}

func countFiles(items []item, refOf func(*item) segment.Ref) []*toucanhingev1.FileCount {
	counts := map[uint32]uint64{}
	for n := range items {
		counts[refOf(&items[n]).File()]++
	}
	list := make([]*toucanhingev1.FileCount, 0, len(counts))
	for file, count := range counts {
		list = append(list, &toucanhingev1.FileCount{File: file, Count: count})
	}
	slices.SortFunc(list, func(a, b *toucanhingev1.FileCount) int { return int(a.GetFile()) - int(b.GetFile()) })
	return list
}

func (s *State) releaseSeal(sealed *seal) {
	for _, f := range sealed.bodies {
		s.config.ReleaseItems(f.GetFile(), f.GetCount())
	}
	for _, f := range sealed.results {
		s.config.ReleaseResults(f.GetFile(), f.GetCount())
	}
	for _, ref := range sealed.index {
		s.config.ReleaseResults(ref.File(), 1)
	}
}

// readIndex decodes the record of a page and returns its items from the given index on.
func readIndex(record []byte, from uint64) ([]Decided, error) {
	if len(record)%refPairBytes != 0 {
		return nil, fmt.Errorf("index of %d bytes: %w", len(record), segment.ErrDamaged)
	}
	first := from / pageItems * pageItems
	var list []Decided
	for n := from - first; n < uint64(len(record)/refPairBytes); n++ {
		pair := record[n*refPairBytes:]
		list = append(list, Decided{
			Index: first + n, Body: segment.Ref(binary.LittleEndian.Uint64(pair)),
			Result: segment.Ref(binary.LittleEndian.Uint64(pair[8:])),
		})
	}
	return list, nil
}

func (d *seal) save(to *toucanhingev1.SavedJob) {
	if d == nil {
		return
	}
	for _, ref := range d.index {
		to.Sealed = append(to.Sealed, uint64(ref))
	}
	to.BodyFiles, to.ResultFiles = d.bodies, d.results
}

func restoreSeal(saved *toucanhingev1.SavedJob) *seal {
	if len(saved.GetSealed()) == 0 {
		return nil
	}
	d := &seal{bodies: saved.GetBodyFiles(), results: saved.GetResultFiles()}
	for _, ref := range saved.GetSealed() {
		d.index = append(d.index, segment.Ref(ref))
	}
	return d
}
