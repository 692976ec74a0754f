// Command standins runs one case of the review: it starts the router's processes, stand-ins of the
// store, of engines and of callers, brings the disruption about and checks the rule from what callers
// and engines saw. It exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(s *site, trouble string) (broken []string){
	"joined-services": joinedServices,
	"same-id":         sameID,
	"lost-stop":       lostStop,
	"leaving":         killedWhileLeaving,
	"canary":          joinedCanary,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "engine" {
		serveUnframed(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE FOLDER TROUBLE")
		os.Exit(2)
	}
	trouble := os.Args[3]
	s := newSite(os.Args[2])
	broken := cases[os.Args[1]](s, trouble)
	s.end()
	for _, b := range broken {
		s.record.add("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
