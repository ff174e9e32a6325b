package engine

import "sort"

// Record counts the events of one request id. Failure tests use it as their oracle.
type Record struct {
	ID string `json:"id"`
	// Runs counts how often the request was started in a slot. Resumes don't count.
	Runs int `json:"runs"`
	// Posts counts how often the request was received, including when it never got a slot.
	Posts   int `json:"posts"`
	Resumes int `json:"resumes"`
	// Tokens counts the tokens generated over all runs.
	Tokens int `json:"tokens"`
	// Prefill counts the prompt tokens computed over all runs.
	Prefill   int  `json:"prefill"`
	Finished  int  `json:"finished"`
	Cancelled bool `json:"cancelled"`
	Suspended int  `json:"suspended"`
	Evicted   bool `json:"evicted"`
	// Mark is the text between ITEM[ and ] in the request body, if present.
	Mark string `json:"mark,omitempty"`
}

type ledger struct {
	records map[string]*Record
}

func (l *ledger) recordFor(id string) *Record {
	r, ok := l.records[id]
	if !ok {
		r = &Record{ID: id}
		l.records[id] = r
	}
	return r
}

func (l *ledger) all() []Record {
	found := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		found = append(found, *r)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}
