package parse

import (
	"container/list"
	"hash/maphash"
	"strings"
	"sync"

	"verbenagate/core/stmt"
)

const (
	shards = 16
	// entryOverhead estimates the bytes of an entry besides its text: list element, map slot and one Info.
	entryOverhead = 320
	infoBytes     = 80
)

// cache keeps the most recently used texts of each shard.
type cache struct {
	seed   maphash.Seed
	shards [shards]shard
}

type shard struct {
	mu         sync.Mutex
	entries    map[string]*list.Element
	order      *list.List // most recently used first
	bytes      int
	maxBytes   int
	maxEntries int
	hits       int64
	misses     int64
}

type entry struct {
	text  string
	infos []stmt.Info
}

func (e *entry) size() int {
	n := len(e.text) + entryOverhead + infoBytes*len(e.infos)
	for _, i := range e.infos {
		for _, t := range i.Tables() {
			n += len(t) + 16
		}
	}
	return n
}

func newCache(bytes, entries int) *cache {
	c := &cache{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].entries = make(map[string]*list.Element)
		c.shards[i].order = list.New()
		c.shards[i].maxBytes = bytes / shards
		c.shards[i].maxEntries = (entries + shards - 1) / shards
	}
	return c
}

func (c *cache) shard(text string) *shard {
	return &c.shards[maphash.String(c.seed, text)%shards]
}

func (c *cache) get(text string) ([]stmt.Info, bool) {
	if len(text) > maxCachedText {
		return nil, false
	}
	s := c.shard(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[text]
	if !ok {
		s.misses++
		return nil, false
	}
	s.hits++
	s.order.MoveToFront(e)
	return e.Value.(*entry).infos, true
}

func (c *cache) put(text string, infos []stmt.Info) {
	if len(text) > maxCachedText {
		return
	}
	// The text may be part of a much longer buffer, which the entry must not keep alive.
	e := &entry{text: strings.Clone(text), infos: infos}
	s := c.shard(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[text]; ok || s.maxEntries == 0 || e.size() > s.maxBytes {
		return
	}
	s.entries[e.text] = s.order.PushFront(e)
	s.bytes += e.size()
	for s.bytes > s.maxBytes || s.order.Len() > s.maxEntries {
		last := s.order.Remove(s.order.Back()).(*entry)
		delete(s.entries, last.text)
		s.bytes -= last.size()
	}
}

// usage returns the number of entries and their bytes.
func (c *cache) usage() (entries, bytes int) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		entries += s.order.Len()
		bytes += s.bytes
		s.mu.Unlock()
	}
	return entries, bytes
}

// lookups returns how many look-ups found their text and how many did not.
func (c *cache) lookups() (hits, misses int64) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		hits += s.hits
		misses += s.misses
		s.mu.Unlock()
	}
	return hits, misses
}
