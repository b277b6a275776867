package proxy

import (
	"sync"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/patch"
	"github.com/pkg/errors"
)

// historySize is the number of recent versions that are kept. A node that has one of
// them is sent only the difference to the newest.
const historySize = 4

// configHistory holds the most recent configurations in the platform's format, oldest
// first.
type configHistory struct {
	mu       sync.Mutex
	versions []configText
	// packed caches the encoded newest version by the version that it is based on; zero
	// means no base.
	packed map[cyclam.Version][]byte
}

type configText struct {
	version cyclam.Version
	spec    []byte
}

func (t *configHistory) add(version cyclam.Version, spec []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.versions) > 0 && t.versions[len(t.versions)-1].version >= version {
		return
	}
	if len(t.versions) == historySize {
		t.versions = append([]configText(nil), t.versions[1:]...)
	}
	t.versions = append(t.versions, configText{
		version: version,
		spec:    spec,
	})
	t.packed = map[cyclam.Version][]byte{}
}

// find returns the configuration of a version, or nil if it is not kept. The caller
// holds mu.
func (t *configHistory) find(version cyclam.Version) []byte {
	for _, v := range t.versions {
		if v.version == version {
			return v.spec
		}
	}
	return nil
}

// encodeFor returns the newest configuration encoded for a node that has the version
// has, and the version that the encoding is based on; zero means no base. It returns
// nil if that node lacks nothing.
func (t *configHistory) encodeFor(has cyclam.Version) ([]byte, cyclam.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.versions) == 0 || t.versions[len(t.versions)-1].version <= has {
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
	packed, err := patch.Encode(base, t.versions[len(t.versions)-1].spec)
	if err != nil {
		return nil, 0, err
	}
	t.packed[has] = packed
	return packed, has, nil
}

// decode returns the configuration that encodeFor has encoded on the version base.
func (t *configHistory) decode(base cyclam.Version, packed []byte) ([]byte, error) {
	t.mu.Lock()
	spec := t.find(base)
	t.mu.Unlock()
	if base != 0 && spec == nil {
		return nil, errors.Errorf("decode configuration: base version %d is no longer kept", base)
	}
	return patch.Decode(spec, packed)
}
