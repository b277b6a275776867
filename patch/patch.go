// Package patch encodes a text as its difference from an older one, so that a
// configuration in which little has changed crosses a slow link in little time.
package patch

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// unpackLimit bounds the size in bytes of a text that is unpacked.
	unpackLimit = 80 << 20
	// windowLeast and windowMost bound how far back a repetition is found, in bytes.
	windowLeast = 64 << 10
	windowMost  = 16 << 20
	// baseID numbers the older text in the frame; there is just one.
	baseID = 1
)

// Encode returns the text packed, as a difference from base unless that is empty.
func Encode(base, text []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(base) + len(text))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "make encoder")
	}
	packed := encoder.EncodeAll(text, nil)
	return packed, errors.Wrap(encoder.Close(), "close encoder")
}

// window returns the smallest window, a power of two, that covers size bytes.
func window(size int) int {
	w := windowLeast
	for w < size && w < windowMost {
		w *= 2
	}
	return w
}

// Decode returns the text that was packed; base is the one that Encode was given.
func Decode(base, packed []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(unpackLimit),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "make decoder")
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(packed, nil)
	return text, errors.Wrap(err, "unpack")
}
