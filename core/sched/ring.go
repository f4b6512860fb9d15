package sched

// lane is the queue of one caller in a ring.
type lane struct {
	caller string
	first  *Item
	last   *Item
	n      int
	prev   *lane
	next   *lane
}

// ring holds items per caller; its head moves to the next caller after each item taken from the front.
type ring struct {
	byCaller map[string]*lane
	at       *lane
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
	if r.at == nil {
		return nil
	}
	return r.at.first
}

// push appends an item to its caller's lane. A new lane comes last in the round. Spare is a list of unused lanes.
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
		if r.at == nil {
			r.at, l.prev, l.next = l, l, l
		} else {
			l.prev, l.next = r.at.prev, r.at
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

// remove takes an item out, wherever it stands. If it was the head of the round, the next caller's turn comes.
func (r *ring) remove(it *Item, spare **lane) {
	l := it.lane
	turn := r.at == l && l.first == it
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
	if turn {
		r.at = l.next
	}
	if l.n > 0 {
		return
	}
	if l.next == l {
		r.at = nil
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if r.at == l {
			r.at = l.next
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

// expiry is a heap of waiting items by latest start.
type expiry []*Item

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].latest.Before(e[j].latest) }

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
