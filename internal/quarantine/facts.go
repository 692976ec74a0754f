package quarantine

import "time"

// Crash is the end of an engine's process while it began to answer requests.
type Crash struct {
	Service string
	// Engine names the engine's process; another start has another name.
	Engine string
	// Parts are the IDs of the shared parts of those requests' prompts, sorted.
	Parts []string
	// Age is the time since the crash.
	Age time.Duration
}

// Sound is the beginning of an answer, on a prompt with a part, that its engine survived.
type Sound struct {
	Service, Part string
	// Age is the time since the request was sent to the engine.
	Age time.Duration
}

// Facts are observations that entry VMs share. Ages are as of the time at which they are
// passed on.
type Facts struct {
	Crashes []Crash
	Sounds  []Sound
}

// Empty reports whether there are no facts.
func (f *Facts) Empty() bool { return len(f.Crashes) == 0 && len(f.Sounds) == 0 }
