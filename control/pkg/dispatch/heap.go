package dispatch

// heapOf implements heap.Interface. before reports whether a belongs closer to the top than b.
type heapOf[T any] struct {
	list   []T
	before func(a, b T) bool
}

// Len implements heap.Interface.
func (o *heapOf[T]) Len() int { return len(o.list) }

// Less implements heap.Interface.
func (o *heapOf[T]) Less(i, j int) bool { return o.before(o.list[i], o.list[j]) }

// Swap implements heap.Interface.
func (o *heapOf[T]) Swap(i, j int) { o.list[i], o.list[j] = o.list[j], o.list[i] }

// Push implements heap.Interface.
func (o *heapOf[T]) Push(x any) {
	if element, ok := x.(T); ok {
		o.list = append(o.list, element)
	}
}

// Pop implements heap.Interface.
func (o *heapOf[T]) Pop() any {
	last := len(o.list) - 1
	element := o.list[last]
	o.list = o.list[:last]
	return element
}
