package systemstate

import toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"

// openItem returns an item that has no result yet, nil if there is none.
func (s *State) openItem(job string, index uint32) (*Job, *Item) {
	j := s.jobs[job]
	if j == nil || int(index) >= len(j.Items) || j.Items[index].Done {
		return nil, nil
	}
	return j, &j.Items[index]
}

// finishItem lists an item's result. Only the first result counts: an item that was run again after
// a change of leader may finish twice. The outcome is false if the text continues other progress
// than the stored one, because joining the two would yield a text that no runner generated.
func (s *State) finishItem(step *toucanhingev1.FinishItemStep) bool {
	j, item := s.openItem(step.GetJob(), step.GetItem())
	if item == nil {
		return true
	}
	switch {
	case !step.GetCompleted() || step.GetAfter() == 0:
		s.releaseParts(item)
	case step.GetAfter() != item.LastEvent:
		return false
	}
	item.Done, item.Completed = true, step.GetCompleted()
	if len(step.GetText()) > 0 {
		item.Parts = append(item.Parts, s.config.Append(step.GetText()))
	}
	j.Listed = append(j.Listed, step.GetItem())
	s.notify(Change{Kind: ItemListed, Job: j.Name, Item: step.GetItem()})
	return true
}

// storeProgress appends partial text of an item if it directly follows the stored text.
func (s *State) storeProgress(step *toucanhingev1.KeepProgressStep) {
	_, item := s.openItem(step.GetJob(), step.GetItem())
	if item == nil || item.LastEvent != step.GetAfter() || step.GetLast() <= step.GetAfter() {
		return
	}
	item.Parts = append(item.Parts, s.config.Append(step.GetText()))
	if item.LastEvent == 0 {
		item.Version = step.GetVersion()
	}
	item.LastEvent = step.GetLast()
}

// releaseParts discards the stored text of an item.
func (s *State) releaseParts(item *Item) {
	for _, ref := range item.Parts {
		s.release(ref)
	}
	item.Parts, item.LastEvent, item.Version = nil, 0, ""
}

func (s *State) countFailure(step *toucanhingev1.CountFailureStep) {
	j := s.jobs[step.GetJob()]
	if j != nil && int(step.GetItem()) < len(j.Items) {
		j.Items[step.GetItem()].Failures++
	}
}
