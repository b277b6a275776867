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

// ResourcesPerChunk is the average number of resources in a chunk. At 300 bytes per
// resource a chunk stays far below the platform's limit of one megabyte.
const ResourcesPerChunk = 64

// maxChunks bounds the list of chunks in the head object.
const maxChunks = 1024

// Layout is a set that is split into content-addressed chunks. It is mutable: a delta
// rebuilds only the chunks that hold its resources.
type Layout struct {
	resources int
	buckets   []map[cyclam.Key]cyclam.Object
	chunks    []cyclam.Object
}

// NewLayout splits a whole set into chunks.
func NewLayout(resources []cyclam.Resource) *Layout {
	count := chunkCount(len(resources))
	l := &Layout{
		resources: len(resources),
		buckets:   make([]map[cyclam.Key]cyclam.Object, count),
		chunks:    make([]cyclam.Object, count),
	}
	for i := range l.buckets {
		l.buckets[i] = map[cyclam.Key]cyclam.Object{}
	}
	for _, resource := range resources {
		l.buckets[bucketIndex(resource.Key(), count)][resource.Key()] = Encode(resource)
	}
	for i := range l.buckets {
		l.rebuildChunk(i)
	}
	return l
}

// Apply updates the chunks that a delta changes. It reports false if the number of
// chunks no longer fits the size of the set, which then needs a new layout.
func (l *Layout) Apply(delta cyclam.Delta) bool {
	touched := map[int]bool{}
	for _, key := range delta.Deletes {
		i := bucketIndex(key, len(l.buckets))
		l.resources -= len(l.buckets[i])
		delete(l.buckets[i], key)
		l.resources += len(l.buckets[i])
		touched[i] = true
	}
	for _, resource := range delta.Upserts {
		i := bucketIndex(resource.Key(), len(l.buckets))
		l.resources -= len(l.buckets[i])
		l.buckets[i][resource.Key()] = Encode(resource)
		l.resources += len(l.buckets[i])
		touched[i] = true
	}
	for i := range touched {
		l.rebuildChunk(i)
	}
	return chunkCount(l.resources) == len(l.buckets)
}

// rebuildChunk encodes the chunk of one bucket again.
func (l *Layout) rebuildChunk(i int) {
	members := make([]cyclam.Object, 0, len(l.buckets[i]))
	for _, object := range l.buckets[i] {
		members = append(members, object)
	}
	l.chunks[i] = cyclam.Object{}
	if len(members) > 0 {
		l.chunks[i] = newChunk(members)
	}
}

// Chunks returns the non-empty chunks.
func (l *Layout) Chunks() []cyclam.Object {
	var out []cyclam.Object
	for _, c := range l.chunks {
		if c.Name != "" {
			out = append(out, c)
		}
	}
	return out
}

// Chunks splits a whole set into content-addressed objects.
func Chunks(resources []cyclam.Resource) []cyclam.Object {
	return NewLayout(resources).Chunks()
}

func chunkCount(resources int) int {
	count := 1 << bits.Len(uint(resources/ResourcesPerChunk))
	return min(count, maxChunks)
}

func bucketIndex(key cyclam.Key, count int) int {
	h := fnv.New32a()
	h.Write([]byte(key.String()))
	return int(h.Sum32() % uint32(count))
}

func newChunk(bucket []cyclam.Object) cyclam.Object {
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

// Join decodes the chunks that a head names into a snapshot. It does not check the
// snapshot against the digest; State.WithSnapshot does.
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
		return cyclam.Snapshot{}, errors.New("decode head: result is not a hexadecimal digest")
	}
	copy(snap.Result[:], sum)
	return snap, nil
}

// NewHead returns the value of the head object for a snapshot, its chunks and the
// process that writes it.
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
