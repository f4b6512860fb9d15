package parse

import (
	"container/list"
	"hash/maphash"
	"strings"
	"sync"

	"verbenagate/core/stmt"
)

const (
	shardCount = 16
	// entryOverheadBytes estimates the size of an entry without its text: list element, map slot and one Info.
	entryOverheadBytes = 320
	// infoBytes estimates the size of a stmt.Info without the names of its tables.
	infoBytes = 80
)

// cache maps a text to the descriptions of its statements. Each shard evicts its least recently used entries.
type cache struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu         sync.Mutex
	entries    map[string]*list.Element
	lru        *list.List // of *entry, most recently used first
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

// size estimates the memory of the entry in bytes.
func (e *entry) size() int {
	n := len(e.text) + entryOverheadBytes + infoBytes*len(e.infos)
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
		c.shards[i].lru = list.New()
		c.shards[i].maxBytes = bytes / shardCount
		c.shards[i].maxEntries = (entries + shardCount - 1) / shardCount
	}
	return c
}

func (c *cache) shard(text string) *shard {
	return &c.shards[maphash.String(c.seed, text)%shardCount]
}

func (c *cache) get(text string) ([]stmt.Info, bool) {
	if len(text) > maxCachedTextBytes {
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
	s.lru.MoveToFront(e)
	return e.Value.(*entry).infos, true
}

func (c *cache) put(text string, infos []stmt.Info) {
	if len(text) > maxCachedTextBytes {
		return
	}
	// Clone the text: it may be a slice of a much longer buffer, which the entry would keep in memory.
	e := &entry{text: strings.Clone(text), infos: infos}
	s := c.shard(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[text]; ok || s.maxEntries == 0 || e.size() > s.maxBytes {
		return
	}
	s.entries[e.text] = s.lru.PushFront(e)
	s.bytes += e.size()
	for s.bytes > s.maxBytes || s.lru.Len() > s.maxEntries {
		last := s.lru.Remove(s.lru.Back()).(*entry)
		delete(s.entries, last.text)
		s.bytes -= last.size()
	}
}

// usage returns the number of entries and their estimated size in bytes.
func (c *cache) usage() (entries, bytes int) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		entries += s.lru.Len()
		bytes += s.bytes
		s.mu.Unlock()
	}
	return entries, bytes
}

// lookups returns the numbers of cache hits and misses.
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
