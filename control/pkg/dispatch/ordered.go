package dispatch

// ordered is a list for package heap; before says which of two comes nearer to the top.
type ordered[T any] struct {
	list   []T
	before func(a, b T) bool
}

// Len implements heap.Interface.
func (o *ordered[T]) Len() int { return len(o.list) }

// Less implements heap.Interface.
func (o *ordered[T]) Less(i, j int) bool { return o.before(o.list[i], o.list[j]) }

// Swap implements heap.Interface.
func (o *ordered[T]) Swap(i, j int) { o.list[i], o.list[j] = o.list[j], o.list[i] }

// Push implements heap.Interface.
func (o *ordered[T]) Push(x any) {
	if element, ok := x.(T); ok {
		o.list = append(o.list, element)
	}
}

// Pop implements heap.Interface.
func (o *ordered[T]) Pop() any {
	last := len(o.list) - 1
	element := o.list[last]
	o.list = o.list[:last]
	return element
}
