// Command cases runs the scripted cases of the review. Each exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// run is a case. It reports whether the rule was broken.
type run func(rec *record, dir string, trouble bool) (broken bool, err error)

var runs = map[string]run{"leave-lost": runLeaveLost, "leaving-unseen": runLeavingUnseen, "foreign-beat": runForeignBeat, "members-grown": runMembersGrown,
	"readers-lost": runReadersLost}

func main() {
	os.Exit(start())
}

func start() int {
	if len(os.Args) != 2 || runs[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		return 2
	}
	rec, err := newRecord()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs of the nodes:", dir)
	}
	broken, err := runs[os.Args[1]](rec, dir, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
