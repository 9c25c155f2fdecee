package sequence

import (
	"strconv"
	"strings"

	"samphirekeel.example/keel/fault"
)

// maxNameLength is the maximum length of a sequence name in bytes.
const maxNameLength = 128

// Position identifies a request by its sequence and its number in it.
type Position struct {
	Name string
	// Number counts the requests of the sequence from 1.
	Number uint64
}

// Parse parses the name of a sequence and a number in it; it fails with kind BadRequest.
func Parse(name, number string) (Position, error) {
	if name == "" || len(name) > maxNameLength || strings.ContainsRune(name, '/') {
		return Position{}, fault.New(fault.BadRequest, "invalid sequence name: must have 1 to %d bytes and no slash", maxNameLength)
	}
	parsed, err := strconv.ParseUint(number, 10, 63)
	if err != nil || parsed == 0 {
		return Position{}, fault.New(fault.BadRequest, "invalid sequence number %q: must be an integer from 1", number)
	}
	return Position{Name: name, Number: parsed}, nil
}

// Key returns the idempotency key under which the request is claimed; a caller's own key has no slash.
func (p Position) Key() string { return p.Name + "/" + strconv.FormatUint(p.Number, 10) }

// previous returns the position of the request that must complete first.
func (p Position) previous() Position { return Position{Name: p.Name, Number: p.Number - 1} }
