package node

import (
	"sync"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
)

// chunkLedger remembers the chunks that this process wrote as the root.
type chunkLedger struct {
	mu        sync.Mutex
	revisions map[string]uint64
	// current and previous are the chunks of the last two heads.
	current  map[string]bool
	previous map[string]bool
	// layout is the set as cut at version; a following one cuts only what its
	// delta touches.
	layout  *conf.Layout
	version cyclam.Version
}

// cut returns the chunks of the version to write.
func (c *chunkLedger) cut(e cyclam.WriteVersion) []cyclam.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.layout == nil || c.version != e.Delta.From || !c.layout.Apply(e.Delta) {
		c.layout = conf.NewLayout(e.Snapshot.Resources)
	}
	c.version = e.Delta.To
	return c.layout.Chunks()
}

// forget starts over, as another root may have written since.
func (c *chunkLedger) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions = nil
	c.current = nil
	c.previous = nil
	c.layout = nil
}

func (c *chunkLedger) has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.revisions[name]
	return ok
}

func (c *chunkLedger) add(name string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revisions == nil {
		c.revisions = map[string]uint64{}
	}
	c.revisions[name] = revision
}

// outdated records the chunks of a new head and returns those, with their
// revisions, that neither it nor the head before it names.
func (c *chunkLedger) outdated(chunks []cyclam.Object) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]bool{}
	for _, chunk := range chunks {
		next[chunk.Name] = true
	}
	drop := map[string]uint64{}
	for name := range c.previous {
		if !next[name] && !c.current[name] {
			drop[name] = c.revisions[name]
			delete(c.revisions, name)
		}
	}
	c.previous = c.current
	c.current = next
	return drop
}
