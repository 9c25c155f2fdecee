package memory

import (
	"bytes"
	"container/list"
	"time"
)

// State is what a connection waits for.
type State int

// The states of a connection.
const (
	// Idle means that the connection has no request.
	Idle State = iota
	// Arriving means that the connection is new, or the header of a request is being read: nothing of the request is known.
	Arriving
	// Waiting means that the entry waits for the client, to send the rest of a request or to read the response.
	Waiting
	// Busy means that a request is being served.
	Busy
)

// Hold is what one connection holds; its methods are safe for concurrent use. A nil Hold has no limit.
type Hold struct {
	account *Account
	evict   func(slow bool)

	bytes int64
	state State
	since time.Time
	// element is the place in the account's list of the state, nil while Busy.
	element *list.Element
	// removed reports that the connection was closed or evicted.
	removed bool
}

// Grow adds bytes before they are taken; it returns false, and adds none, if there is no room or the connection was evicted.
func (h *Hold) Grow(bytes int64) bool { return h.GrowWithin(0, bytes) }

// growInterval is the interval at which GrowWithin looks for slow connections.
const growInterval = 100 * time.Millisecond

// GrowWithin is Grow that waits, for at most the timeout, until there is room.
func (h *Hold) GrowWithin(timeout time.Duration, bytes int64) bool {
	if h == nil {
		return true
	}
	deadline := time.Now().Add(timeout)
	for {
		ok, freed := h.tryGrow(bytes)
		remaining := time.Until(deadline)
		if ok || freed == nil {
			return ok
		}
		if remaining <= 0 {
			h.Note(MemoryRefused)
			return false
		}
		// A connection may become slow enough to be closed without any giving memory back.
		timer := time.NewTimer(min(remaining, growInterval))
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryGrow adds the bytes if there is room for them, and otherwise returns a channel that is closed when there is more, nil if there can't
// be enough.
func (h *Hold) tryGrow(bytes int64) (bool, <-chan struct{}) {
	evicted, ok, freed := h.tryGrowLocked(bytes)
	closeAll(evicted)
	return ok, freed
}

func (h *Hold) tryGrowLocked(bytes int64) ([]*Hold, bool, <-chan struct{}) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case h.removed:
		return nil, false, nil
	case bytes > a.Bytes:
		a.noteLocked(MemoryRefused)
		return nil, false, nil
	}
	evicted, ok := a.makeRoom(h, bytes)
	if ok {
		h.bytes += bytes
		a.used += bytes
		return evicted, true, nil
	}
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return evicted, false, a.freed
}

// Shrink gives bytes back.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.removed {
		h.bytes -= bytes
		h.account.release(bytes)
	}
}

// SetState records that the connection is in the state from now on.
func (h *Hold) SetState(state State) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.removed {
		h.setState(state)
	}
}

func (h *Hold) setState(state State) {
	h.unlist()
	h.state, h.since = state, time.Now()
	if state != Busy {
		h.element = h.account.waits[state].PushBack(h)
	}
}

// unlist removes the connection from the list of its state.
func (h *Hold) unlist() {
	if h.element == nil {
		return
	}
	h.account.waits[h.state].Remove(h.element)
	h.element = nil
}

// size returns the number of bytes held, 0 for a nil Hold.
func (h *Hold) size() int64 {
	if h == nil {
		return 0
	}
	return h.bytes
}

// Close gives back all that the connection holds; it may be called more than once.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.removed {
		h.remove()
	}
}

func (h *Hold) remove() {
	h.unlist()
	h.removed = true
	h.account.open--
	h.account.release(h.bytes)
}

// Note counts and logs that a limit has acted on the connection.
func (h *Hold) Note(limit Limit) {
	if h != nil {
		h.account.Note(limit)
	}
}

const (
	// jsonCopies is how often decoding holds the text itself: as received, in parts and in decoded strings, each in a buffer that may be
	// twice as large.
	jsonCopies = 4
	// jsonValueBytes is the memory of one decoded value in a list that grows; the largest type has some 190 bytes.
	jsonValueBytes = 256
)

// JSONBytes returns an upper estimate of the memory that decoding a text takes, in bytes.
func JSONBytes(data []byte) int64 {
	values := bytes.Count(data, []byte{','}) + bytes.Count(data, []byte{'{'}) + bytes.Count(data, []byte{'['})
	return jsonCopies*int64(len(data)) + jsonValueBytes*int64(values)
}
