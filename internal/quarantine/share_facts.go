package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// maxCrashes and maxSounds bound the facts of one message.
	maxCrashes, maxSounds = 256, 1024
	// maxParts bounds the parts and requests of a crash.
	maxParts = 128
	// maxNameBytes bounds the name of a service, an engine or a part.
	maxNameBytes = 64
)

// validName reports whether a name may be shared. Strings of messages are UTF-8; another
// one would make the encoding of the whole message fail.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// valid reports whether the crash is within the bounds of what VMs share.
func (c *Crash) valid() bool {
	return validName(c.Service) && validName(c.Engine) && c.Age >= 0 &&
		len(c.Parts) > 0 && len(c.Parts) <= maxParts && !slices.ContainsFunc(c.Parts, invalidName) && isSet(c.Parts)
}

// isSet reports whether parts are sorted and none is repeated.
func isSet(parts []string) bool {
	for i := 1; i < len(parts); i++ {
		if parts[i-1] >= parts[i] {
			return false
		}
	}
	return true
}

// valid reports whether the sound is within the bounds of what VMs share.
func (s *Sound) valid() bool { return validName(s.Service) && validName(s.Part) && s.Age >= 0 }

func invalidName(name string) bool { return !validName(name) }

// key identifies the crash regardless of its age.
func (c *Crash) key() string {
	var b strings.Builder
	b.WriteString("crash")
	for _, name := range append([]string{c.Service, c.Engine}, c.Parts...) {
		b.WriteString(strconv.Quote(name))
	}
	return b.String()
}

// key identifies the sound regardless of its age.
func (s *Sound) key() string { return "sound" + strconv.Quote(s.Service) + strconv.Quote(s.Part) }

// size returns the number of facts.
func (f *Facts) size() int { return len(f.Crashes) + len(f.Sounds) }

// add appends facts.
func (f *Facts) add(other Facts) {
	f.Crashes = append(f.Crashes, other.Crashes...)
	f.Sounds = append(f.Sounds, other.Sounds...)
}

// after returns a copy whose ages are as of a time d later.
func (f *Facts) after(d time.Duration) Facts {
	later := Facts{Crashes: slices.Clone(f.Crashes), Sounds: slices.Clone(f.Sounds)}
	for i := range later.Crashes {
		later.Crashes[i].Age += max(0, d)
	}
	for i := range later.Sounds {
		later.Sounds[i].Age += max(0, d)
	}
	return later
}

// valid returns the facts that are within the bounds, and the number of others.
func (f *Facts) valid() (kept Facts, rejected int) {
	for i := range f.Crashes {
		if f.Crashes[i].valid() {
			kept.Crashes = append(kept.Crashes, f.Crashes[i])
		}
	}
	for i := range f.Sounds {
		if f.Sounds[i].valid() {
			kept.Sounds = append(kept.Sounds, f.Sounds[i])
		}
	}
	return kept, f.size() - kept.size()
}

// first returns at most as many facts as a message may have.
func (f *Facts) first() Facts {
	crashes, sounds := min(len(f.Crashes), maxCrashes), min(len(f.Sounds), maxSounds)
	return Facts{Crashes: f.Crashes[:crashes:crashes], Sounds: f.Sounds[:sounds:sounds]}
}

// split divides facts into as few messages as possible; none if there are no facts.
func (f *Facts) split() []Facts {
	var messages []Facts
	for rest := *f; !rest.Empty(); {
		message := rest.first()
		messages = append(messages, message)
		rest = Facts{Crashes: rest.Crashes[len(message.Crashes):], Sounds: rest.Sounds[len(message.Sounds):]}
	}
	return messages
}

// without returns the facts that others lack, regardless of ages.
func (f *Facts) without(others Facts) Facts {
	known := make(keySet, others.size())
	known.add(&others)
	return f.filter(func(key string) bool { return !known[key] })
}

// filter returns the facts whose keys are kept.
func (f *Facts) filter(keep func(key string) bool) Facts {
	var kept Facts
	for i := range f.Crashes {
		if keep(f.Crashes[i].key()) {
			kept.Crashes = append(kept.Crashes, f.Crashes[i])
		}
	}
	for i := range f.Sounds {
		if keep(f.Sounds[i].key()) {
			kept.Sounds = append(kept.Sounds, f.Sounds[i])
		}
	}
	return kept
}

// maxKeys bounds a keySet.
const maxKeys = 4 * (maxCrashes + maxSounds)

// keySet is a set of keys of facts.
type keySet map[string]bool

// add adds the keys of facts. A set that is full is emptied before.
func (k keySet) add(f *Facts) {
	if len(k)+f.size() > maxKeys {
		clear(k)
	}
	f.filter(func(key string) bool {
		k[key] = true
		return false
	})
}

// take removes the keys of facts and returns the facts that were in the set.
func (k keySet) take(f *Facts) Facts {
	return f.filter(func(key string) bool {
		found := k[key]
		delete(k, key)
		return found
	})
}
