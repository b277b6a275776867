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

// Layout is a set cut into content-addressed chunks. It changes in place: a
// delta touches only the chunks that hold its resources.
type Layout struct {
	resources int
	buckets   []map[cyclam.Key]cyclam.Object
	chunks    []cyclam.Object
}

// NewLayout cuts a whole set.
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
		l.buckets[bucketOf(resource.Key(), count)][resource.Key()] = Encode(resource)
	}
	for i := range l.buckets {
		l.cut(i)
	}
	return l
}

// Apply follows a delta; it reports false where the set has outgrown the layout
// and has to be cut anew.
func (l *Layout) Apply(delta cyclam.Delta) bool {
	touched := map[int]bool{}
	for _, key := range delta.Deletes {
		i := bucketOf(key, len(l.buckets))
		l.resources -= len(l.buckets[i])
		delete(l.buckets[i], key)
		l.resources += len(l.buckets[i])
		touched[i] = true
	}
	for _, resource := range delta.Upserts {
		i := bucketOf(resource.Key(), len(l.buckets))
		l.resources -= len(l.buckets[i])
		l.buckets[i][resource.Key()] = Encode(resource)
		l.resources += len(l.buckets[i])
		touched[i] = true
	}
	for i := range touched {
		l.cut(i)
	}
	return chunkCount(l.resources) == len(l.buckets)
}

// cut makes the chunk of one bucket anew.
func (l *Layout) cut(i int) {
	members := make([]cyclam.Object, 0, len(l.buckets[i]))
	for _, object := range l.buckets[i] {
		members = append(members, object)
	}
	l.chunks[i] = cyclam.Object{}
	if len(members) > 0 {
		l.chunks[i] = chunk(members)
	}
}

// Chunks returns the chunks that hold anything.
func (l *Layout) Chunks() []cyclam.Object {
	var out []cyclam.Object
	for _, c := range l.chunks {
		if c.Name != "" {
			out = append(out, c)
		}
	}
	return out
}

// Chunks cuts a whole set into content-addressed objects.
func Chunks(resources []cyclam.Resource) []cyclam.Object {
	return NewLayout(resources).Chunks()
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
