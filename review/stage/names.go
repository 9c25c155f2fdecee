package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol that stand in the data file.
//
//go:embed names.json
var namesFile []byte

var names = readNames()

func readNames() map[string]string {
	var all map[string]string
	err := json.Unmarshal(namesFile, &all)
	if err != nil {
		panic(err)
	}
	return all
}

// object is a JSON object.
type object map[string]any

func (o object) text(name string) string {
	s, _ := o[name].(string)
	return s
}

func (o object) number(name string) int64 {
	n, _ := o[name].(float64)
	return int64(n)
}

func (o object) list(name string) []object {
	raw, _ := o[name].([]any)
	all := make([]object, 0, len(raw))
	for _, e := range raw {
		m, _ := e.(map[string]any)
		all = append(all, object(m))
	}
	return all
}
