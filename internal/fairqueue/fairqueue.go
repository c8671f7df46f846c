// Package fairqueue is a bounded queue that several sources share. Sources take turns, so that an item waits for as many
// others as there are sources, however many items another source has queued. A source may hold as many items as places
// are free (dynamic thresholds: Choudhury and Hahne, 1998), so that there is room for every other source. The package
// has no clock and starts no goroutine; its users synchronise access.
package fairqueue

// Queue is a queue of items by source. The zero value holds nothing; see New.
type Queue[T any] struct {
	capacity int
	length   int
	flows    map[uint64]*flow[T]
	turns    []*flow[T] // flows with items, the next one first
}

// flow holds the items of one source, the oldest first.
type flow[T any] struct {
	source uint64
	items  []T
}

// New returns an empty queue for a number of items. A source that is alone may hold half of them.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, flows: map[uint64]*flow[T]{}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item of a source. It returns false if the source holds as many items as places are free.
func (q *Queue[T]) Push(source uint64, item T) bool {
	f := q.flows[source]
	held := 0
	if f != nil {
		held = len(f.items)
	}
	if held >= q.capacity-q.length {
		return false
	}
	if f == nil {
		f = &flow[T]{source: source}
		q.flows[source] = f
		q.turns = append(q.turns, f)
	}
	f.items = append(f.items, item)
	q.length++
	return true
}

// Pop removes the oldest item of the source whose turn it is.
func (q *Queue[T]) Pop() (item T, ok bool) {
	if len(q.turns) == 0 {
		return item, false
	}
	f := q.turns[0]
	q.turns[0] = nil
	q.turns = q.turns[1:]
	item = q.takeOldest(f)
	if len(f.items) > 0 {
		q.turns = append(q.turns, f)
	}
	return item, true
}

// takeOldest removes the oldest item of a flow, and the flow with its last one.
func (q *Queue[T]) takeOldest(f *flow[T]) (item T) {
	var none T
	item, f.items[0] = f.items[0], none
	f.items = f.items[1:]
	q.length--
	if len(f.items) == 0 {
		delete(q.flows, f.source)
	}
	return item
}

// PopAll removes the oldest items of each source as long as they meet a condition, and returns them.
func (q *Queue[T]) PopAll(condition func(T) bool) (items []T) {
	kept := q.turns[:0]
	for _, f := range q.turns {
		for len(f.items) > 0 && condition(f.items[0]) {
			items = append(items, q.takeOldest(f))
		}
		if len(f.items) > 0 {
			kept = append(kept, f)
		}
	}
	clear(q.turns[len(kept):])
	q.turns = kept
	return items
}
