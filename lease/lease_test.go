package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
)

const term = 3 * time.Second

func claimOf(name cyclam.InstanceName) Claim {
	return Claim{
		Name: "root",
		Term: term,
		Self: cyclam.Claim{
			Holder: cyclam.Identity{
				Instance:    name,
				Incarnation: 1,
			},
		},
	}
}

// read and write carry an operation out on a platform.
func read(c Claim, store *objapi.Store) Claim {
	object, err := store.Get(context.Background(), cyclam.Key{
		Kind: cyclam.KindClaim,
		Name: c.Name,
	})
	c, _ = c.Read(time.Now(), object, err)
	return c
}

func write(c Claim, store *objapi.Store) Claim {
	object, err := store.Put(context.Background(), c.Object())
	c, op := c.Wrote(time.Now(), object, err)
	if op == OpRead {
		return read(c, store)
	}
	return c
}

// TestPausedHolder pauses a holder past its term: the observer takes over, and
// the holder learns so from its first write and not from its clock.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objapi.NewStore()
		holder := write(read(claimOf("a"), store), store)
		observer := read(claimOf("b"), store)
		if _, op := observer.Seek(time.Now(), true); op != OpRead {
			t.Errorf("got operation %v within the term, want a read", op)
		}
		time.Sleep(term)
		observer = read(observer, store)
		if _, op := observer.Seek(time.Now(), true); op != OpWrite {
			t.Fatalf("got operation %v after the term, want a write", op)
		}
		observer = write(observer, store)
		if !holder.Held() || !observer.Held() {
			t.Fatalf("got held %v and %v, want two that believe", holder.Held(), observer.Held())
		}
		holder = write(holder, store)
		if holder.Held() {
			t.Error("got a holder after a refused renewal, want none")
		}
	})
}

// TestRenewedClaim covers an observer of a claim that is renewed in time.
func TestRenewedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objapi.NewStore()
		holder := write(read(claimOf("a"), store), store)
		observer := claimOf("b")
		for range 10 {
			time.Sleep(term / 2)
			holder = write(holder, store)
			observer = read(observer, store)
			if observer.Expired(time.Now()) {
				t.Fatal("got a lapsed claim, want a renewed one")
			}
		}
	})
}

// TestLostAnswer covers a claim that was written without an answer.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objapi.NewStore()
		c := read(claimOf("a"), store)
		_, _ = store.Put(context.Background(), c.Object())
		c, op := c.Wrote(time.Now(), cyclam.Object{}, cyclam.ErrUnavailable)
		if op != OpRead {
			t.Fatalf("got operation %v, want a read", op)
		}
		if c = read(c, store); !c.Held() {
			t.Error("got no claim, want the one that took effect")
		}
	})
}
