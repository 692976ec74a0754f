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
	// maxParts bounds the parts of a crash.
	maxParts = 64
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
	for _, name := range append([]string{c.Service, c.Engine}, c.Parts...) {
		b.WriteString(strconv.Quote(name))
	}
	return b.String()
}

// key identifies the sound regardless of its age.
func (s *Sound) key() string { return strconv.Quote(s.Service) + strconv.Quote(s.Part) }

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
	known := make(map[string]bool, others.size())
	for i := range others.Crashes {
		known["c"+others.Crashes[i].key()] = true
	}
	for i := range others.Sounds {
		known["s"+others.Sounds[i].key()] = true
	}
	var lacking Facts
	for i := range f.Crashes {
		if !known["c"+f.Crashes[i].key()] {
			lacking.Crashes = append(lacking.Crashes, f.Crashes[i])
		}
	}
	for i := range f.Sounds {
		if !known["s"+f.Sounds[i].key()] {
			lacking.Sounds = append(lacking.Sounds, f.Sounds[i])
		}
	}
	return lacking
}
