package main

import (
	"bytes"
	"encoding/json"
	"os"
)

// names holds the words of the users' pages that stand in no Go file outside platform/.
type names struct {
	Transact, Get, Parts, Feed string
	Start, Stop, Hold, Pace    string
	Ready                      string
	// Instance and Deadline are headers, Settings is the variable with the path of a host's settings.
	Instance, Deadline, Settings string
	// Fields maps fields of bodies to the words that this program uses for them.
	Fields map[string]string
}

var wire names

func loadNames(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &wire)
}

// fromWire replaces the pages' words for fields by those of this program.
func fromWire(body []byte) []byte {
	for theirs, ours := range wire.Fields {
		body = bytes.ReplaceAll(body, []byte(`"`+theirs+`":`), []byte(`"`+ours+`":`))
	}
	return body
}

// toWire is the reverse of fromWire.
func toWire(body []byte) []byte {
	for theirs, ours := range wire.Fields {
		body = bytes.ReplaceAll(body, []byte(`"`+ours+`":`), []byte(`"`+theirs+`":`))
	}
	return body
}
