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

func (m *boundedMap[K, V]) get(key K) (V, bool) {
	value, ok := m.values[key]
	return value, ok
}

func (m *boundedMap[K, V]) set(key K, value V) {
	if _, ok := m.values[key]; !ok {
		m.order = append(m.order, key)
	}
	m.values[key] = value
	if len(m.order) > boundedMapLimit {
		delete(m.values, m.order[0])
		m.order = m.order[1:]
	}
}
