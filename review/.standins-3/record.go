package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// record is the file record.txt of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) *record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	return &record{file: file, began: time.Now()}
}

// line writes a line with the time since the beginning.
func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// unable ends the program because the case could not run.
func unable(format string, arguments ...any) {
	panic(unableError(fmt.Sprintf(format, arguments...)))
}

type unableError string

func check(err error) {
	if err != nil {
		unable("%v", err)
	}
}
