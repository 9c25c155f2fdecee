package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/tenant"
)

// Change is a difference between two versions.
type Change struct {
	Section Section `json:"section"`
	Entry   string  `json:"entry"`
	// Field is empty for an entry that was added or removed as a whole.
	Field string `json:"field,omitempty"`
	// Before and After are the values as text, empty where there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change in words.
func (c Change) String() string {
	name := strings.TrimSpace(string(c.Section) + " " + c.Entry)
	switch {
	case c.Field != "":
		return fmt.Sprintf("%s: %s %s -> %s", name, c.Field, c.Before, c.After)
	case c.Before == "":
		return name + ": added"
	}
	return name + ": removed"
}

// field is a field of an entry as text.
type field struct{ name, value string }

// Summary is a configuration as text, by section and entry; it holds the keys of tenants only as short hashes.
type Summary struct {
	Version uint64 `json:"version"`
	// Entries holds the fields of each entry by section and name.
	Entries map[Section]map[string]map[string]string `json:"entries"`
}

// Summarise returns the summary of a configuration.
func Summarise(c *queue.Config) Summary {
	s := Summary{Version: c.Version, Entries: make(map[Section]map[string]map[string]string)}
	for _, q := range c.Queues {
		fields := []field{
			{"host", q.Host}, {"prefix", q.Prefix}, {"pool", q.Pool}, {"priority", fmt.Sprint(q.Priority)}, {"attempts", fmt.Sprint(q.MaxAttempts)},
			{"stretch", fmt.Sprint(q.Stretch)}, {"latency target", q.LatencyTarget.String()}, {"timeout", q.Timeout.String()}, {"public", fmt.Sprint(q.Public)},
		}
		if q.Policy != nil {
			fields = append(fields, field{"policy", fmt.Sprintf("%s + %s for each worker, tickets valid for %s", q.Policy.BaseTime, q.Policy.TimePerWorker, q.Policy.TicketValidity)})
		}
		s.add(Queues, q.Name, fields)
	}
	for name, p := range c.Pools {
		s.add(Pools, name, []field{{"spare", fmt.Sprint(p.Spare)}, {"capacity enforced", fmt.Sprint(p.CapacityEnforced)}, {"health path", p.HealthPath}})
	}
	for t := range c.Tenants.All() {
		s.add(Tenants, t.Name, []field{
			{"weight", fmt.Sprint(t.Weight)}, {"cap", fmt.Sprintf("%d milli-cores, %d MB, %d accelerators", t.Cap.MilliCores, t.Cap.MemoryMB, t.Cap.Accelerators)},
			{"keys", keyNames(c.Tenants.Keys(t.Name))},
		})
	}
	l := c.Limits
	s.add(Limits, "", []field{
		{"header size", fmt.Sprint(l.HeaderBytes)}, {"body size", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()}, {"idle timeout", l.IdleTimeout.String()},
	})
	return s
}

func keyNames(keys []tenant.Key) string {
	names := make([]string, 0, len(keys))
	for _, key := range keys {
		names = append(names, key.String())
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func (s *Summary) add(section Section, entry string, fields []field) {
	if s.Entries[section] == nil {
		s.Entries[section] = make(map[string]map[string]string)
	}
	values := make(map[string]string, len(fields))
	for _, f := range fields {
		values[f.name] = f.value
	}
	s.Entries[section][entry] = values
}

// Compare returns what differs in after from before, by section, entry and field.
func Compare(before, after Summary) []Change {
	var changes []Change
	for _, section := range []Section{Queues, Pools, Tenants, Limits} {
		old, changed := before.Entries[section], after.Entries[section]
		for _, entry := range sortedKeys(old, changed) {
			oldFields, hadEntry := old[entry]
			newFields, hasEntry := changed[entry]
			switch {
			case !hasEntry:
				changes = append(changes, Change{Section: section, Entry: entry, Before: entry})
			case !hadEntry:
				changes = append(changes, Change{Section: section, Entry: entry, After: entry})
			default:
				for _, name := range sortedKeys(oldFields, newFields) {
					if oldFields[name] != newFields[name] {
						changes = append(changes, Change{section, entry, name, oldFields[name], newFields[name]})
					}
				}
			}
		}
	}
	return changes
}

// sortedKeys returns the keys of both maps in order.
func sortedKeys[V any](a, b map[string]V) []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(all)
	return slices.Compact(all)
}

func sortedPools(c *queue.Config) []string { return slices.Sorted(maps.Keys(c.Pools)) }
