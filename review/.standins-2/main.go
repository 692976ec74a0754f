// Command standins-2 holds the stand-ins of the review's scripts and the scripts themselves: a store, engines and
// clients that follow the platform's pages. Each stand-in is a process of its own.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// The results of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

var cases = map[string]func(*site) int{
	"restarted": caseRestarted,
	"holders":   caseHolders,
	"removed":   caseRemoved,
	"flapping":  caseFlapping,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 store|engine|CASE FOLDER")
		os.Exit(notRun)
	}
	switch os.Args[1] {
	case "store":
		runStore(os.Args[2:])
	case "engine":
		runEngine(os.Args[2:])
	default:
		run, known := cases[os.Args[1]]
		if !known || len(os.Args) < 3 {
			fmt.Fprintln(os.Stderr, "no such case")
			os.Exit(notRun)
		}
		os.Exit(runCase(os.Args[2], run))
	}
}

var (
	outputLock sync.Mutex
	output     = os.Stdout
)

// writeLine writes a line of record.txt: in the script to the file, in a stand-in to its output, from which the script
// takes it.
func writeLine(what string, fields map[string]any) {
	fields["what"], fields["at"] = what, time.Now().Format("15:04:05.000")
	line, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	outputLock.Lock()
	defer outputLock.Unlock()
	_, _ = output.Write(append(line, '\n'))
}
