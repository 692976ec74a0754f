package fleet

import "time"

// buildMemory is how long the build of an endpoint that is no longer registered counts
// as one that may have begun a stream. Callers give up on a stream earlier.
const buildMemory = time.Minute

// buildKey identifies a build of a service.
type buildKey struct {
	service, build string
}

// recordBuilds records the builds of endpoints that are no longer registered. The lock must
// be held.
func (s *Store) recordBuilds(present []Instance, now time.Time) {
	registered := make(map[buildKey]bool)
	for i := range present {
		registered[keyOf(&present[i])] = true
	}
	for i := range s.instances {
		if key := keyOf(&s.instances[i]); !registered[key] {
			s.formerBuilds[key] = now
		}
	}
	for key, left := range s.formerBuilds {
		if registered[key] || now.Sub(left) > buildMemory {
			delete(s.formerBuilds, key)
		}
	}
}

func keyOf(instance *Instance) buildKey { return buildKey{instance.Service, instance.Build} }

// SoleBuild returns the build of all endpoints of a service, if they have the same one and
// this process has known no other within buildMemory. A process that has just started
// knows only the endpoints that are registered.
func (s *Store) SoleBuild(service string, now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sole, found := "", false
	for i := range s.instances {
		if s.instances[i].Service != service {
			continue
		}
		if found && s.instances[i].Build != sole {
			return "", false
		}
		sole, found = s.instances[i].Build, true
	}
	for key, left := range s.formerBuilds {
		if key.service == service && key.build != sole && now.Sub(left) <= buildMemory {
			return "", false
		}
	}
	return sole, found
}
