package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"maps"
	"slices"
)

// Cap limits what the running tasks of a tenant may use on all workers together; 0 means no limit.
type Cap struct {
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// Tenant is one tenant of a configuration.
type Tenant struct {
	Name string
	// Weight is the tenant's share when the workers are full, in proportion to the weights of the others. It is also the
	// number of jobs a second that the deployment owes the tenant.
	Weight float64
	Cap    Cap
}

// Key is the hash of a caller's key. Keys themselves aren't kept, and comparing hashes takes no time that depends on a key.
type Key [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) Key { return sha256.Sum256([]byte(key)) }

// String returns a short prefix of the hash, which names the key in logs.
func (k Key) String() string { return hex.EncodeToString(k[:4]) }

// Set holds the tenants of one version of the configuration; it is immutable, and nil where there are no tenants.
type Set struct {
	byName map[string]*Tenant
	byKey  map[Key]*Tenant
	// shared holds, by tenant, an earlier tenant that has one of its keys.
	shared map[string]string
}

// NewSet returns an empty set, to which tenants are added before it is used.
func NewSet() *Set {
	return &Set{byName: make(map[string]*Tenant), byKey: make(map[Key]*Tenant), shared: make(map[string]string)}
}

// Add adds a tenant with its keys. A key that another tenant has already stays with that tenant.
func (s *Set) Add(t Tenant, keys []Key) {
	s.byName[t.Name] = &t
	for _, key := range keys {
		owner := s.byKey[key]
		switch {
		case owner == nil:
			s.byKey[key] = &t
		case owner.Name != t.Name:
			s.shared[t.Name] = owner.Name
		}
	}
}

// ByName returns the tenant with the name, or nil.
func (s *Set) ByName(name string) *Tenant {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// ByKey returns the tenant that the key belongs to, or nil.
func (s *Set) ByKey(key Key) *Tenant {
	if s == nil {
		return nil
	}
	return s.byKey[key]
}

// Keys returns the hashes of the keys that belong to the tenant, in no order.
func (s *Set) Keys(name string) []Key {
	if s == nil {
		return nil
	}
	var keys []Key
	for key, t := range s.byKey {
		if t.Name == name {
			keys = append(keys, key)
		}
	}
	return keys
}

// SharesKeyWith returns the name of an earlier tenant to which a key belongs that was added for this one too, empty for none.
func (s *Set) SharesKeyWith(name string) string {
	if s == nil {
		return ""
	}
	return s.shared[name]
}

// Len returns the number of tenants.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// All returns the tenants in the order of their names.
func (s *Set) All() iter.Seq[*Tenant] {
	return func(yield func(*Tenant) bool) {
		if s == nil {
			return
		}
		for _, name := range slices.Sorted(maps.Keys(s.byName)) {
			if !yield(s.byName[name]) {
				return
			}
		}
	}
}
