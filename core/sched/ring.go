package sched

// lane is the FIFO queue of one caller in a ring.
type lane struct {
	caller string
	first  *Item
	last   *Item
	n      int
	prev   *lane
	next   *lane
}

// ring holds a queue per caller and serves the callers round robin: when its first item is removed, the next caller's turn comes.
type ring struct {
	byCaller map[string]*lane
	current  *lane // the caller whose turn it is
	callers  int
	items    int
}

// waiting returns how many items of a caller the ring holds.
func (r *ring) waiting(caller string) int {
	if l := r.byCaller[caller]; l != nil {
		return l.n
	}
	return 0
}

func (r *ring) head() *Item {
	if r.current == nil {
		return nil
	}
	return r.current.first
}

// push appends an item to its caller's lane. A new lane comes last in the round robin. Spare is a free list of lanes.
func (r *ring) push(it *Item, spare **lane) {
	l := r.byCaller[it.caller]
	if l == nil {
		l = takeLane(spare)
		l.caller = it.caller
		if r.byCaller == nil {
			r.byCaller = map[string]*lane{}
		}
		r.byCaller[it.caller] = l
		r.callers++
		if r.current == nil {
			r.current, l.prev, l.next = l, l, l
		} else {
			l.prev, l.next = r.current.prev, r.current
			l.prev.next, l.next.prev = l, l
		}
	}
	it.lane, it.prev, it.next = l, l.last, nil
	if l.last == nil {
		l.first = it
	} else {
		l.last.next = it
	}
	l.last = it
	l.n++
	r.items++
}

// remove takes out an item at any position. If it was the ring's first item, the next caller's turn comes.
func (r *ring) remove(it *Item, spare **lane) {
	l := it.lane
	wasHead := r.current == l && l.first == it
	if it.prev == nil {
		l.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.lane, it.prev, it.next = nil, nil, nil
	l.n--
	r.items--
	if wasHead {
		r.current = l.next
	}
	if l.n > 0 {
		return
	}
	if l.next == l {
		r.current = nil
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if r.current == l {
			r.current = l.next
		}
	}
	delete(r.byCaller, l.caller)
	r.callers--
	*l = lane{next: *spare}
	*spare = l
}

func takeLane(spare **lane) *lane {
	l := *spare
	if l == nil {
		return &lane{}
	}
	*spare = l.next
	*l = lane{}
	return l
}

// expiry is a heap of the waiting items that have a deadline, ordered by startBy.
type expiry []*Item

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].startBy.Before(e[j].startBy) }

func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiry) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(*e)
	*e = append(*e, it)
}

// Pop implements heap.Interface.
func (e *expiry) Pop() any {
	last := len(*e) - 1
	it := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	it.heapIndex = -1
	return it
}
