package stutterer

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tamarackpitch/tamarackpitch/platform/standin"
)

// versions writes versions to the store and knows all that were ever written. It is safe for concurrent use.
type versions struct {
	store        *standin.Store
	disturbances *disturbances

	// mu also keeps writes to the store and returns of the store apart.
	mu sync.Mutex
	// all are in the order of their numbers.
	all []version
}

// write writes a version to the store: one that is new, or the newest one again.
func (s *versions) write(v version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.store.PutConfig(v.config()); err != nil {
		return err
	}
	if n := len(s.all); n == 0 || s.all[n-1].number < v.number {
		s.all = append(s.all, v)
	}
	// The store's content follows all versions, including those that it has lost.
	now := time.Now()
	for i := range s.all {
		if s.all[i].acknowledged.IsZero() {
			s.all[i].acknowledged = now
		}
	}
	return nil
}

// newest returns the newest version.
func (s *versions) newest() version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[len(s.all)-1]
}

// snapshot returns all versions.
func (s *versions) snapshot() []version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

// returnFrom returns the store, which is disturbed from a moment on, from a copy. Versions that nodes already had to follow at
// that moment remain acknowledged. It returns the number of the version that the copy holds.
func (s *versions) returnFrom(c standin.Copy, disturbed time.Time) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.ReturnFrom(c)
	kept, err := s.stored()
	if err != nil {
		return 0, err
	}
	for i := range s.all {
		if s.all[i].number > kept && !s.disturbances.due(s.all[i].acknowledged, disturbed) {
			s.all[i].acknowledged = time.Time{}
		}
	}
	return kept, nil
}

// holdsNewest reports whether the store holds the newest version.
func (s *versions) holdsNewest() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, err := s.stored()
	return number == s.all[len(s.all)-1].number, err
}

// stored returns the number of the version that the store holds. The caller holds the lock.
func (s *versions) stored() (int, error) {
	var c standin.Config
	if err := json.Unmarshal(s.store.Newest(standin.TopicOperator, standin.KeyConfig), &c); err != nil {
		return 0, &Error{Operation: "read the stored configuration", Detail: err.Error()}
	}
	number := 0
	if _, err := fmt.Sscanf(c.Version, versionFormat, &number); err != nil {
		return 0, &Error{Operation: "read the stored version", Detail: err.Error()}
	}
	return number, nil
}

// required returns the number of the newest version that nodes have to follow when they get a request that is sent at a time, or 0.
func (s *versions) required(sent time.Time) int {
	number := 0
	for _, v := range s.snapshot() {
		if s.disturbances.due(v.acknowledged, sent) {
			number = v.number
		}
	}
	return number
}
