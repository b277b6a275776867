package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/patch"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

// historySize is the number of recent versions that are kept. A node that has one of
// them is sent only the difference to the newest.
const historySize = 4

// configID tells configurations apart. A store that has returned from a copy may give a
// version number out again, with other content.
type configID struct {
	version cyclam.Version
	// digest is that of the text; zero means unknown.
	digest uint64
	// era is the highest era of the store in which the text was read.
	era uint64
}

// replaces reports whether c goes before o. Versions never go back; of two texts with
// the same version, that of the newer era counts.
func (c configID) replaces(o configID) bool {
	if c.version != o.version {
		return c.version > o.version
	}
	return c.era > o.era && !c.sameText(o)
}

// sameText reports whether two configurations of the same version may have one text.
func (c configID) sameText(o configID) bool {
	return c.digest == o.digest || c.digest == 0 || o.digest == 0
}

// covers reports whether whoever has c in force has applied what o may have changed.
func (c configID) covers(o configID) bool {
	return c.replaces(o) || c.version == o.version && c.sameText(o)
}

// configIDOf returns what a message says of its sender's configuration.
func configIDOf(k *wire.Knowledge) configID {
	return configID{
		version: cyclam.Version(k.GetVersion()),
		digest:  k.GetConfigDigest(),
		era:     k.GetConfigEra(),
	}
}

// configHistory holds the most recent configurations in the platform's format, oldest
// first. The last one is in force.
type configHistory struct {
	mu       sync.Mutex
	versions []configText
	// packed caches the encoded newest version by the version that it is based on; zero
	// means no base.
	packed map[cyclam.Version][]byte
}

type configText struct {
	id   configID
	spec []byte
	// reissued is set if another text had this version before.
	reissued bool
}

func newConfigText(version cyclam.Version, era uint64, spec []byte) configText {
	return configText{
		id: configID{
			version: version,
			digest:  digestOf(spec),
			era:     era,
		},
		spec: spec,
	}
}

func digestOf(spec []byte) uint64 {
	sum := sha256.Sum256(spec)
	return binary.BigEndian.Uint64(sum[:])
}

// newest returns the configuration in force; it is zero if there is none.
func (t *configHistory) newest() configID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last().id
}

// current returns the text in force; it is zero if there is none.
func (t *configHistory) current() configText {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last()
}

// last returns the configuration in force. The caller holds mu.
func (t *configHistory) last() configText {
	if len(t.versions) == 0 {
		return configText{}
	}
	return t.versions[len(t.versions)-1]
}

// add appends a text if it goes before the one in force, or puts it in the place of that
// one if it has the same version. The caller holds mu.
func (t *configHistory) add(text configText) bool {
	held := t.last()
	if !text.id.replaces(held.id) {
		if held.id.version == text.id.version && held.id.digest == text.id.digest {
			t.versions[len(t.versions)-1].id.era = max(held.id.era, text.id.era)
		}
		return false
	}
	switch {
	case len(t.versions) > 0 && held.id.version == text.id.version:
		text.reissued = true
		t.versions = append([]configText(nil), t.versions[:len(t.versions)-1]...)
	case len(t.versions) == historySize:
		t.versions = append([]configText(nil), t.versions[1:]...)
	}
	t.versions = append(t.versions, text)
	t.packed = map[cyclam.Version][]byte{}
	return true
}

// find returns the configuration of a version; its text is nil if it is not kept. The
// caller holds mu.
func (t *configHistory) find(version cyclam.Version) configText {
	for _, v := range t.versions {
		if v.id.version == version {
			return v
		}
	}
	return configText{}
}

// encodeFor returns the newest configuration encoded for a node that has the
// configuration has, the version that the encoding is based on, and the newest one's
// identity. The base is zero if the node is not known to have the same text of it. The
// encoding is nil if that node lacks nothing.
func (t *configHistory) encodeFor(has configID) ([]byte, cyclam.Version, configID, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.last()
	if !newest.id.replaces(has) {
		return nil, 0, newest.id, nil
	}
	base := t.find(has.version)
	if !base.id.sameText(has) || base.reissued && has.digest == 0 {
		base = configText{}
	}
	packed, ok := t.packed[base.id.version]
	if ok {
		return packed, base.id.version, newest.id, nil
	}
	packed, err := patch.Encode(base.spec, newest.spec)
	if err != nil {
		return nil, 0, newest.id, err
	}
	t.packed[base.id.version] = packed
	return packed, base.id.version, newest.id, nil
}

// decode returns the configuration that encodeFor has encoded on the version base. A
// digest other than zero must be that of the result: this node's text of the base may
// differ from the sender's.
func (t *configHistory) decode(base cyclam.Version, packed []byte, digest uint64) ([]byte, error) {
	t.mu.Lock()
	held := t.find(base)
	t.mu.Unlock()
	if base != 0 && held.spec == nil {
		return nil, errors.Errorf("decode configuration: base version %d is no longer kept", base)
	}
	spec, err := patch.Decode(held.spec, packed)
	if err == nil && digest != 0 && digestOf(spec) != digest {
		err = errors.Errorf("decode configuration: digest differs, text of base version %d is not the sender's", base)
	}
	return spec, err
}
