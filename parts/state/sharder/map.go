// Package sharder provides a map that is split into shards, each with its own lock.
package sharder

import "sync"

// Shards is the number of shards, and of locks, of a Map.
const Shards = 32

// Map assigns keys to shards by a hash. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	hash   func(K) uint64
	shards [Shards]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// New returns an empty Map that assigns keys to shards by hash.
func New[K comparable, V any](hash func(K) uint64) *Map[K, V] {
	m := &Map[K, V]{hash: hash}
	for i := range m.shards {
		m.shards[i].values = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shard(key K) *shard[K, V] {
	return &m.shards[m.hash(key)%Shards]
}

// Get returns the value of key, and false if there is none.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

// Update replaces the value of key with the result of change, and deletes the key if change returns false. The shard
// stays locked while change runs, so change must not use the map.
func (m *Map[K, V]) Update(key K, change func(value V, ok bool) (V, bool)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.values[key]
	v, keep := change(old, ok)
	if !keep {
		delete(s.values, key)
		return
	}
	s.values[key] = v
}

// Set stores value under key and replaces any earlier value.
func (m *Map[K, V]) Set(key K, value V) {
	m.Update(key, func(V, bool) (V, bool) { return value, true })
}

// Delete removes key if it is present.
func (m *Map[K, V]) Delete(key K) {
	m.Update(key, func(v V, _ bool) (V, bool) { return v, false })
}

// Clear removes every key. Each shard is locked separately, so concurrent updates may survive.
func (m *Map[K, V]) Clear() {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		clear(s.values)
		s.mu.Unlock()
	}
}

// Len returns the number of keys. Each shard is counted at a different time.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.values)
		s.mu.Unlock()
	}
	return n
}

// Each calls visit for every entry. It copies one shard at a time and holds no lock during visit, so visit may use the map.
func (m *Map[K, V]) Each(visit func(K, V)) {
	for i := range m.shards {
		for k, v := range m.shards[i].copy() {
			visit(k, v)
		}
	}
}

func (s *shard[K, V]) copy() map[K]V {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[K]V, len(s.values))
	for k, v := range s.values {
		values[k] = v
	}
	return values
}
