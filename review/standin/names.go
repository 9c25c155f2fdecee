package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names maps the names that this program uses for calls, fields and headers to those on the wire.
var names = func() map[string]string {
	all := make(map[string]string)
	err := json.Unmarshal(namesFile, &all)
	if err != nil {
		panic(err)
	}
	return all
}()

func wire(name string) string {
	value, ok := names[name]
	if !ok {
		panic("no wire name for " + name)
	}
	return value
}
