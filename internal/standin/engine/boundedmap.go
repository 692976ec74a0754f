package engine

// boundedMapLimit is the maximum number of keys in a boundedMap.
const boundedMapLimit = 1 << 16

// boundedMap is a map that evicts its oldest key above boundedMapLimit.
type boundedMap[K comparable, V any] struct {
	values map[K]V
	order  []K
}

func newBoundedMap[K comparable, V any]() *boundedMap[K, V] {
	return &boundedMap[K, V]{values: make(map[K]V)}
}

func (r *boundedMap[K, V]) get(key K) (V, bool) {
	value, ok := r.values[key]
	return value, ok
}

func (r *boundedMap[K, V]) set(key K, value V) {
	if _, ok := r.values[key]; !ok {
		r.order = append(r.order, key)
	}
	r.values[key] = value
	if len(r.order) > boundedMapLimit {
		delete(r.values, r.order[0])
		r.order = r.order[1:]
	}
}
