// Program review-stand-3 plays small deployments for the third review: a store, executors, clients and hosts of the
// project as processes. What the users' platform calls things on the wire stands in names.txt.
package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names maps the stand-in's words to those of the wire.
var names = readNames()

func readNames() map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(namesText) {
		if word, name, found := strings.Cut(strings.TrimSpace(line), " "); found {
			out[word] = name
		}
	}
	return out
}
