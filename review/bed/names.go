package main

import (
	_ "embed"
	"encoding/json"
)

// names.json holds the names of the platform's protocol.
//
//go:embed names.json
var namesFile []byte

//go:embed settings.tmpl
var settingsTemplate string

var names = func() map[string]string {
	var m map[string]string
	err := json.Unmarshal(namesFile, &m)
	if err != nil {
		panic(err)
	}
	return m
}()
