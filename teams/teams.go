// Package teams decides which team a request belongs to, and whether the request may
// run: by its credential, its route and the age of what the node knows of the accepted
// credentials. Package proxy asks it for each request under "cyclamensaddle sidecar".
package teams

import (
	"crypto/hmac"
	"crypto/sha256"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Secret is the key of the hash by which credentials are looked up. It is drawn at random
// by each process, so that no caller can choose credentials with a hash known to it.
type Secret [sha256.Size]byte

// digest is the keyed hash of a credential.
type digest [sha256.Size]byte

// Registry finds the team of a credential among those of one configuration; it is
// immutable. The nil Registry is that of a configuration without teams.
type Registry struct {
	secret Secret
	// holders holds the index of the team that holds a credential.
	holders map[digest]int
	teams   []cyclam.Team
}

// New returns the registry of a configuration's teams, or nil if there are none. It
// returns an error if two teams hold the same credential.
func New(list []cyclam.Team, secret Secret) (*Registry, error) {
	if len(list) == 0 {
		return nil, nil
	}
	r := &Registry{
		secret:  secret,
		holders: map[digest]int{},
	}
	for i, team := range list {
		for _, c := range team.Credentials {
			key := r.digestOf(c)
			if other, held := r.holders[key]; held && other != i {
				return nil, errors.Errorf("teams %s and %s hold the same credential", list[other].Name, team.Name)
			}
			r.holders[key] = i
		}
		team.Credentials = nil
		r.teams = append(r.teams, team)
	}
	return r, nil
}

// digestOf returns the keyed hash of a credential. Looking up the hash takes a time that
// tells nothing of the credentials that are held.
func (r *Registry) digestOf(c cyclam.Credential) digest {
	mac := hmac.New(sha256.New, r.secret[:])
	_, _ = mac.Write([]byte(c))
	var d digest
	mac.Sum(d[:0])
	return d
}

// Lookup returns the team that holds a credential, without its credentials. No team holds
// the empty one.
func (r *Registry) Lookup(c cyclam.Credential) (cyclam.Team, bool) {
	if r == nil || c == "" {
		return cyclam.Team{}, false
	}
	i, ok := r.holders[r.digestOf(c)]
	if !ok {
		return cyclam.Team{}, false
	}
	return r.teams[i], true
}

// Len returns the number of teams.
func (r *Registry) Len() int {
	if r == nil {
		return 0
	}
	return len(r.teams)
}
