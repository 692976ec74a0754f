package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// wallLayout is RFC 3339 in UTC with microseconds, in constant width.
const wallLayout = "2006-01-02T15:04:05.000000Z"

// noRequest stands for an empty request id in the text format.
const noRequest = "-"

// WriteText writes one line per event: wall clock time in UTC, process, request id
// ("-" if there is none), kind and detail.
func WriteText(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	for i := range events {
		writeLine(buffered, &events[i])
	}
	return buffered.Flush()
}

func writeLine(w *bufio.Writer, e *Event) {
	request := e.Request
	if request == "" {
		request = noRequest
	}
	wall := e.Wall.UTC().Format(wallLayout)
	_, _ = fmt.Fprintf(w, "%s %s.%d %s %s", wall, e.VM, e.Incarnation, request, e.Kind)
	if e.Detail != "" {
		_, _ = fmt.Fprintf(w, " %s", e.Detail)
	}
	_ = w.WriteByte('\n')
}

// WriteJSON writes one JSON object per line for each event.
func WriteJSON(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
