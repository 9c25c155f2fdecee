package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
)

// Level is a level of the tree.
type Level int

// The levels of the tree, from the top.
const (
	LevelRoot Level = iota
	LevelPartner
	LevelPool
	LevelService
)

var levelNames = [...]string{"root", "partner", "pool", "service"}

// String returns the level's name.
func (l Level) String() string { return levelNames[l] }

// Type is the type of a setting's value.
type Type string

// The types of values.
const (
	TypeDuration Type = "duration"
	TypeInt      Type = "int"
	TypeFloat    Type = "float"
	TypeBool     Type = "bool"
	TypeString   Type = "string"
)

// Key names a setting.
type Key string

// Definition describes one setting.
type Definition struct {
	Key  Key
	Type Type
	// Unit is the unit of an int or float, empty for a bare number.
	Unit string
	// Default is the value in force where no level sets one, as JSON.
	Default string
	// Min and Max bound the value: nanoseconds for a duration, characters for a string.
	Min, Max float64
	// LowestLevel is the lowest level that may set the value.
	LowestLevel Level
	// Choices lists the allowed strings; nil allows any.
	Choices []string
	Text    string
}

// All returns every definition in the order of docs/SETTINGS.md.
func All() []Definition {
	var all []Definition
	for _, group := range [][]Definition{routeKeys, claimKeys, poolKeys, waveKeys, jobKeys} {
		all = append(all, group...)
	}
	return all
}

var byKey = indexByKey()

func indexByKey() map[Key]Definition {
	index := make(map[Key]Definition)
	for _, definition := range All() {
		index[definition.Key] = definition
	}
	return index
}

// Lookup returns the definition of the key and fails with kind InvalidSetting if there is none.
func Lookup(key Key) (Definition, error) {
	definition, ok := byKey[key]
	if !ok {
		return Definition{}, fault.New(fault.InvalidSetting, "%s: no such setting", key)
	}
	return definition, nil
}

// Check fails with kind InvalidSetting, naming the setting and the reason, if the value is not allowed.
func (d Definition) Check(value json.RawMessage) error {
	size, err := d.measure(value)
	if err != nil {
		return fault.New(fault.InvalidSetting, "%s: %v", d.Key, err)
	}
	if size < d.Min || size > d.Max {
		return fault.New(fault.InvalidSetting, "%s: %s is outside %s", d.Key, value, d.Range())
	}
	return nil
}

// measure decodes the value and returns what Min and Max bound.
func (d Definition) measure(value json.RawMessage) (float64, error) {
	switch d.Type {
	case TypeDuration:
		duration, err := parseDuration(value)
		return float64(duration), err
	case TypeBool:
		_, err := decode[bool](value, "true or false")
		return d.Min, err
	case TypeString:
		text, err := decode[string](value, "a string")
		if err == nil {
			err = d.checkChoice(text)
		}
		return float64(len(text)), err
	case TypeInt:
		number, err := decode[int64](value, "a whole number")
		return float64(number), err
	default:
		return decode[float64](value, "a number")
	}
}

func (d Definition) checkChoice(text string) error {
	if len(d.Choices) == 0 {
		return nil
	}
	for _, choice := range d.Choices {
		if choice == text {
			return nil
		}
	}
	return fmt.Errorf("%q is none of %s", text, strings.Join(d.Choices, ", "))
}

// Range returns the allowed range in the setting's unit.
func (d Definition) Range() string {
	switch {
	case d.Type == TypeDuration:
		return fmt.Sprintf("%s to %s", time.Duration(d.Min), time.Duration(d.Max))
	case d.Type == TypeBool:
		return "true or false"
	case len(d.Choices) > 0:
		return strings.Join(d.Choices, ", ")
	case d.Type == TypeString:
		return fmt.Sprintf("%g to %g characters", d.Min, d.Max)
	default:
		return strings.TrimSpace(fmt.Sprintf("%g to %g %s", d.Min, d.Max, d.Unit))
	}
}

func parseDuration(value json.RawMessage) (time.Duration, error) {
	text, err := decode[string](value, `a duration such as "2s"`)
	if err != nil {
		return 0, err
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration such as \"2s\"", text)
	}
	return duration, nil
}

func decode[T any](value json.RawMessage, want string) (T, error) {
	var out T
	err := json.Unmarshal(value, &out)
	if err != nil {
		return out, fmt.Errorf("%s is not %s", value, want)
	}
	return out, nil
}
