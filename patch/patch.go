// Package patch encodes a text as a compressed difference from an older one, the
// base. It is used to send configurations, so that one in which little has changed
// takes little time on a slow link.
package patch

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// maxDecodedSize bounds the size of a decoded text in bytes.
	maxDecodedSize = 80 << 20
	// minWindow and maxWindow bound the compression window, the distance in bytes
	// over which repetitions are found.
	minWindow = 64 << 10
	maxWindow = 16 << 20
	// dictID identifies the base in the frame as its only dictionary.
	dictID = 1
)

// Encode returns the compressed text, as a difference from base unless base is
// empty.
func Encode(base, text []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(text))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "create zstd encoder")
	}
	packed := encoder.EncodeAll(text, nil)
	return packed, errors.Wrap(encoder.Close(), "close zstd encoder")
}

// windowSize returns the smallest power of two that covers size bytes, within
// minWindow and maxWindow.
func windowSize(size int) int {
	w := minWindow
	for w < size && w < maxWindow {
		w *= 2
	}
	return w
}

// Decode returns the text that Encode was given; base has to be the same as there.
// Texts larger than 80 MiB are an error.
func Decode(base, packed []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecodedSize),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "create zstd decoder")
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(packed, nil)
	return text, errors.Wrap(err, "unpack")
}
