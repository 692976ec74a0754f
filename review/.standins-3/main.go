// Command standins-3 plays the cases of the review: it starts the daemon's processes and stand-ins for the
// platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns the number of times that its rule was broken.
var cases = map[string]func(r *record, trouble bool) int{
	"plain-stream":  playPlainStream,
	"split-take-up": playSplitTakeUp,
	"clock-step":    playClockStep,
	"mixed-split":   playMixedSplit,
	"weights":       playWeights,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER")
		return exitUnable
	}
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case unableError:
			fmt.Fprintln(os.Stderr, "the case could not run:", string(cause))
			code = exitUnable
		default:
			panic(cause)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord(os.Args[2])
	broken := cases[os.Args[1]](r, trouble)
	r.line("broken: %d, trouble: %t", broken, trouble)
	fmt.Printf("%s: broken %d times, trouble %t\n", os.Args[1], broken, trouble)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
