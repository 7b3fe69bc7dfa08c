// Command stand holds the stand-ins of the review's cases: the platform's store, executors, clients and the part of the
// platform that starts and kills processes. A case is played by "stand NAME"; "stand executor" is one process with one
// or more executors, which a case starts.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// names are the paths and fields of the platform's wire that only the data file may name.
var names = readNames()

//go:embed names.json
var namesFile []byte

func readNames() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

var cases = map[string]func(*deployment) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "executor" {
		if err := runExecutors(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(couldntRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var known []string
		for name := range cases {
			known = append(known, name)
		}
		slices.Sort(known)
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD, with CASE one of", known)
		os.Exit(couldntRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(one func(*deployment) error, recordPath string, trouble bool) int {
	d, err := newDeployment(recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer d.close()
	if err := one(d); err != nil {
		d.note("the case could not run: %v", err)
		return couldntRun
	}
	if len(d.broken) > 0 {
		for _, one := range d.broken {
			d.note("RULE BROKEN: %s", one)
		}
		return ruleBroken
	}
	d.note("no rule was broken")
	return ruleHeld
}
