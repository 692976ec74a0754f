package questionnaire

import (
	"strconv"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// numberPlaceholder is replaced by a number in the patterns of names and
// addresses.
const numberPlaceholder = "{n}"

// maxPoolSize is the maximum number of endpoints in one pool.
const maxPoolSize = 10_000

func expandPattern(pattern string, number int) string {
	return strings.ReplaceAll(pattern, numberPlaceholder, strconv.Itoa(number))
}

// size returns the number of endpoints in the pool.
func (p *Pool) size() int {
	if len(p.Addresses) > 0 {
		return len(p.Addresses)
	}
	return p.Count
}

// address returns the address of the endpoint with the given index.
func (p *Pool) address(index int) string {
	if len(p.Addresses) > 0 {
		return p.Addresses[index]
	}
	return expandPattern(p.Address, p.FirstNumber+index)
}

// poolGroup identifies the pools of a service whose endpoints are numbered
// together.
type poolGroup struct {
	zone string
	role configuration.Role
}

// endpoint is one endpoint of a pool.
type endpoint struct {
	name, address string
	pool          *Pool
	// poolIndex is the index of the pool among the pools of its service.
	poolIndex int
	// index is the index of the endpoint in its pool.
	index int
}

// expand returns all endpoints of a service's pools.
func expand(pools []Pool) []endpoint {
	var all []endpoint
	next := map[poolGroup]int{}
	for poolIndex := range pools {
		pool := &pools[poolIndex]
		group := poolGroup{pool.Zone, pool.Role}
		for index := range min(pool.size(), maxPoolSize) {
			next[group]++
			all = append(all, endpoint{
				name:      expandPattern(pool.Name, next[group]),
				address:   pool.address(index),
				pool:      pool,
				poolIndex: poolIndex,
				index:     index,
			})
		}
	}
	return all
}
