// Package codec encodes control messages to their protobuf wire form and decodes
// them.
//
// It runs for every message between nodes. Decoding validates every field that
// the receiver's decisions rely on, so that bytes from a faulty peer give an
// error and never reach its state.
package codec

import (
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// compressThreshold is the size of a batch, in bytes, from which compression is
// tried.
const compressThreshold = 256

// decompressedLimit bounds the decompressed size of one envelope, in bytes.
const decompressedLimit = 64 << 20

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(decompressedLimit)))
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Pack returns an envelope that holds the messages, in order. Batches of at least
// compressThreshold bytes are compressed with zstd if that makes them smaller.
func Pack(messages []cyclam.Message) (*wire.Envelope, error) {
	batch := &wire.Batch{}
	for _, message := range messages {
		out, err := encode(message)
		if err != nil {
			return nil, err
		}
		batch.Messages = append(batch.Messages, out)
	}
	if size := proto.Size(batch); size >= compressThreshold {
		plain, err := proto.Marshal(batch)
		if err != nil {
			return nil, errors.Wrap(err, "marshal batch")
		}
		packed := encoder.EncodeAll(plain, make([]byte, 0, size/2))
		if len(packed) < size {
			return &wire.Envelope{
				Content: &wire.Envelope_Packed{
					Packed: packed,
				},
			}, nil
		}
	}
	return &wire.Envelope{
		Content: &wire.Envelope_Batch{
			Batch: batch,
		},
	}, nil
}

// Unpack returns the messages of an envelope, in order. It returns an error if
// any of them is malformed.
func Unpack(envelope *wire.Envelope) ([]cyclam.Message, error) {
	batch := envelope.GetBatch()
	if packed := envelope.GetPacked(); packed != nil {
		plain, err := decoder.DecodeAll(packed, nil)
		if err != nil {
			return nil, errors.Wrap(err, "decompress batch")
		}
		batch = &wire.Batch{}
		if err := proto.Unmarshal(plain, batch); err != nil {
			return nil, errors.Wrap(err, "unmarshal batch")
		}
	}
	if batch == nil {
		return nil, errors.New("unpack: envelope has no content")
	}
	messages := make([]cyclam.Message, 0, len(batch.Messages))
	for _, in := range batch.Messages {
		message, err := decode(in)
		if err != nil {
			return nil, err
		}
		messages = append(messages, message)
	}
	return messages, nil
}
