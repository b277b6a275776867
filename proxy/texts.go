package proxy

import (
	"sync"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/patch"
	"github.com/pkg/errors"
)

// textsKept is how many versions other nodes may be behind and still get only
// the difference.
const textsKept = 4

// texts holds the last configurations as the platform has them.
type texts struct {
	mu   sync.Mutex
	held []text
	// packed holds the newest, packed, by the version that it is based on.
	packed map[cyclam.Version][]byte
}

type text struct {
	version cyclam.Version
	spec    []byte
}

func (t *texts) add(version cyclam.Version, spec []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) > 0 && t.held[len(t.held)-1].version >= version {
		return
	}
	if len(t.held) == textsKept {
		t.held = append([]text(nil), t.held[1:]...)
	}
	t.held = append(t.held, text{
		version: version,
		spec:    spec,
	})
	t.packed = map[cyclam.Version][]byte{}
}

// find returns the text of a version, or none; the caller holds the lock.
func (t *texts) find(version cyclam.Version) []byte {
	for _, held := range t.held {
		if held.version == version {
			return held.spec
		}
	}
	return nil
}

// pack returns the newest text for a node that holds a version, and the version
// that it is based on; no text if that node lacks nothing.
func (t *texts) pack(has cyclam.Version) ([]byte, cyclam.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) == 0 || t.held[len(t.held)-1].version <= has {
		return nil, 0, nil
	}
	base := t.find(has)
	if base == nil {
		has = 0
	}
	packed, ok := t.packed[has]
	if ok {
		return packed, has, nil
	}
	packed, err := patch.Encode(base, t.held[len(t.held)-1].spec)
	if err != nil {
		return nil, 0, err
	}
	t.packed[has] = packed
	return packed, has, nil
}

// unpack returns the text that pack returned for a node that holds base.
func (t *texts) unpack(base cyclam.Version, packed []byte) ([]byte, error) {
	t.mu.Lock()
	text := t.find(base)
	t.mu.Unlock()
	if base != 0 && text == nil {
		return nil, errors.Errorf("unpack: version %d is no longer held", base)
	}
	return patch.Decode(text, packed)
}
