package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"math/bits"
	"slices"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// ResourcesPerChunk is how many resources a chunk holds on average; at 300
// bytes each a chunk stays far below the platform's limit of a megabyte.
const ResourcesPerChunk = 64

// maxChunks bounds the head object's list.
const maxChunks = 1024

// Chunks cuts the set into content-addressed objects. A change touches only the
// chunks that hold the changed resources.
func Chunks(resources []cyclam.Resource) []cyclam.Object {
	count := chunkCount(len(resources))
	buckets := make([][]cyclam.Object, count)
	for _, resource := range resources {
		i := bucketOf(resource.Key(), count)
		buckets[i] = append(buckets[i], Encode(resource))
	}
	var out []cyclam.Object
	for _, bucket := range buckets {
		if len(bucket) > 0 {
			out = append(out, chunk(bucket))
		}
	}
	return out
}

func chunkCount(resources int) int {
	count := 1 << bits.Len(uint(resources/ResourcesPerChunk))
	return min(count, maxChunks)
}

func bucketOf(key cyclam.Key, count int) int {
	h := fnv.New32a()
	h.Write([]byte(key.String()))
	return int(h.Sum32() % uint32(count))
}

func chunk(bucket []cyclam.Object) cyclam.Object {
	slices.SortFunc(bucket, func(a, b cyclam.Object) int {
		return compareKeys(a.Key(), b.Key())
	})
	data, err := json.Marshal(bucket)
	if err != nil {
		panic(errors.Wrap(err, "encode chunk"))
	}
	sum := sha256.Sum256(data)
	return cyclam.Object{
		Kind: cyclam.KindChunk,
		Name: hex.EncodeToString(sum[:16]),
		Spec: data,
	}
}

// Join reads the chunks that a head names back into a snapshot.
func Join(head cyclam.Head, chunks []cyclam.Object) (cyclam.Snapshot, error) {
	snap := cyclam.Snapshot{
		Version: head.Version,
	}
	for _, object := range chunks {
		var members []cyclam.Object
		if err := json.Unmarshal(object.Spec, &members); err != nil {
			return cyclam.Snapshot{}, errors.Wrap(err, "decode chunk "+object.Name)
		}
		for _, member := range members {
			resource, problems := Parse(member)
			if len(problems) > 0 {
				return cyclam.Snapshot{}, errors.New("decode chunk " + object.Name + ": " + problems[0].String())
			}
			snap.Resources = append(snap.Resources, resource)
		}
	}
	sum, err := hex.DecodeString(head.Result)
	if err != nil || len(sum) != len(snap.Result) {
		return cyclam.Snapshot{}, errors.New("decode head: result is not a digest")
	}
	copy(snap.Result[:], sum)
	return snap, nil
}

// NewHead returns the head object's value for a snapshot written by a process.
func NewHead(snap cyclam.Snapshot, writer cyclam.Identity, chunks []cyclam.Object) cyclam.Head {
	head := cyclam.Head{
		Version: snap.Version,
		Writer:  writer,
		Result:  snap.Result.String(),
	}
	for _, object := range chunks {
		head.Chunks = append(head.Chunks, object.Name)
	}
	return head
}
