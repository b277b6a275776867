package node

import (
	"sync"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
)

// chunkTracker keeps the chunks of the configuration that this process has
// written as the root. Chunks are the stored parts of a configuration version;
// the head object lists them.
type chunkTracker struct {
	mu sync.Mutex
	// revisions maps the name of each written chunk to its stored revision.
	revisions map[string]uint64
	// current and previous are the names of the chunks of the last two heads.
	current  map[string]bool
	previous map[string]bool
	// layout is the resource set divided into chunks, as of version. If the
	// next version follows from it by a delta, only the chunks that the delta
	// touches are encoded again.
	layout  *conf.Layout
	version cyclam.Version
}

// split returns the chunks of the version to write.
func (c *chunkTracker) split(e cyclam.WriteVersion) []cyclam.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.layout == nil || c.version != e.Delta.From || !c.layout.Apply(e.Delta) {
		c.layout = conf.NewLayout(e.Snapshot.Resources)
	}
	c.version = e.Delta.To
	return c.layout.Chunks()
}

// reset discards all state, since another root may have written in the
// meantime.
func (c *chunkTracker) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions = nil
	c.current = nil
	c.previous = nil
	c.layout = nil
}

func (c *chunkTracker) has(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.revisions[name]
	return ok
}

func (c *chunkTracker) add(name string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revisions == nil {
		c.revisions = map[string]uint64{}
	}
	c.revisions[name] = revision
}

// setHead records the chunks of a new head. It returns the names and revisions
// of the chunks that neither the new head nor the one before it refers to.
func (c *chunkTracker) setHead(chunks []cyclam.Object) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]bool{}
	for _, chunk := range chunks {
		next[chunk.Name] = true
	}
	obsolete := map[string]uint64{}
	for name := range c.previous {
		if !next[name] && !c.current[name] {
			obsolete[name] = c.revisions[name]
			delete(c.revisions, name)
		}
	}
	c.previous = c.current
	c.current = next
	return obsolete
}
