package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// commentPrefix is the prefix of keys whose values are comments.
const commentPrefix = "//"

// reader decodes JSON into a value and collects all problems; encoding/json stops at the first.
type reader struct {
	problems []string
	// invalidPaths holds the paths whose values could not be decoded.
	invalidPaths map[string]bool
}

func (r *reader) addProblem(path, format string, args ...any) {
	if r.invalidPaths == nil {
		r.invalidPaths = make(map[string]bool)
	}
	r.invalidPaths[path] = true
	if path == "" {
		path = "file"
	}
	r.problems = append(r.problems, path+": "+fmt.Sprintf(format, args...))
}

func (r *reader) read(path string, data []byte, into reflect.Value) {
	_, isUnmarshaler := into.Addr().Interface().(json.Unmarshaler)
	switch {
	case into.Kind() == reflect.Struct && !isUnmarshaler:
		r.readObject(path, data, into)
	case into.Kind() == reflect.Slice:
		r.readList(path, data, into)
	default:
		r.readValue(path, data, into)
	}
}

func (r *reader) readObject(path string, data []byte, into reflect.Value) {
	var values map[string]json.RawMessage
	err := json.Unmarshal(data, &values)
	if err != nil {
		r.addProblem(path, "is not an object: %v", err)
		return
	}
	fields := make(map[string]reflect.Value)
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = into.Field(i)
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		field, known := fields[name]
		switch {
		case strings.HasPrefix(name, commentPrefix):
		case !known:
			r.addProblem(join(path, name), "no such setting")
		default:
			r.read(join(path, name), values[name], field)
		}
	}
}

func (r *reader) readList(path string, data []byte, into reflect.Value) {
	var items []json.RawMessage
	err := json.Unmarshal(data, &items)
	if err != nil {
		r.addProblem(path, "is not a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		r.read(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i))
	}
	into.Set(list)
}

func (r *reader) readValue(path string, data []byte, into reflect.Value) {
	fresh := reflect.New(into.Type())
	err := json.Unmarshal(data, fresh.Interface())
	if err == nil {
		into.Set(fresh.Elem())
		return
	}
	if into.Type() == reflect.TypeFor[Duration]() {
		r.addProblem(path, "%v", err)
		return
	}
	r.addProblem(path, "%s is not of type %s", data, into.Kind())
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
