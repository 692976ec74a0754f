package engine

// recentLimit is the number of keys that a recent map holds.
const recentLimit = 1 << 16

// recent maps keys to values and forgets the oldest key above recentLimit.
type recent[K comparable, V any] struct {
	values map[K]V
	order  []K
}

func newRecent[K comparable, V any]() *recent[K, V] {
	return &recent[K, V]{values: make(map[K]V)}
}

func (r *recent[K, V]) get(key K) (V, bool) {
	value, ok := r.values[key]
	return value, ok
}

func (r *recent[K, V]) set(key K, value V) {
	if _, ok := r.values[key]; !ok {
		r.order = append(r.order, key)
	}
	r.values[key] = value
	if len(r.order) > recentLimit {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
}
