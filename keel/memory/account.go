package memory

import (
	"container/list"
	"sync"
	"time"

	"samphirekeel.example/keel/event"
)

// slowAfter is how long a client may keep the entry waiting before its connection can be closed for another one. Requests that arrive
// at once take milliseconds.
const slowAfter = time.Second

// Limit is a limit that has acted on a client.
type Limit int

// The limits, and what happened to the client.
const (
	// ConnectionClosed means that a slow or idle connection was closed for a new one.
	ConnectionClosed Limit = iota
	// ConnectionRefused means that a new connection was refused, as all others were in use.
	ConnectionRefused
	// MemoryClosed means that a slow or idle connection was closed for the memory that it held.
	MemoryClosed
	// MemoryRefused means that a connection, request or message was refused for want of memory.
	MemoryRefused
	// HeaderTimeout means that a connection was closed because the header of a request didn't arrive in time.
	HeaderTimeout
	// BodyTimeout means that a request was refused because its body didn't arrive in time.
	BodyTimeout
	// WriteTimeout means that a connection was closed because the client didn't read the response.
	WriteTimeout
)

// limits holds the names of the limits in the log and the metrics.
var limits = [...]struct{ reason, action string }{
	ConnectionClosed: {"connections", "closed"}, ConnectionRefused: {"connections", "refused"},
	MemoryClosed: {"memory", "closed"}, MemoryRefused: {"memory", "refused"},
	HeaderTimeout: {"header_timeout", "closed"}, BodyTimeout: {"body_timeout", "refused"}, WriteTimeout: {"write_timeout", "closed"},
}

// Account bounds what the clients of one listener hold; its methods are safe for concurrent use.
type Account struct {
	// Listener is the name of the listener in the log and the metrics.
	Listener string
	// Bytes is the maximum number of bytes held, and Connections that of open connections, 0 for no limit.
	Bytes       int64
	Connections int
	Log         *event.Log

	mu   sync.Mutex
	used int64
	open int
	// freed is closed when bytes are given back; nil if nobody waits for that.
	freed chan struct{}
	// waits holds the connections by their state if it isn't Busy, that which has been in it for longest first.
	waits   [Busy]list.List
	reports [len(limits)]report
}

// report counts how often a limit has acted.
type report struct {
	total, logged int64
	loggedAt      time.Time
}

// Used returns the number of bytes held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Open returns the number of open connections.
func (a *Account) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// Add adds a connection that holds the bytes, in state Arriving, and returns false if there is no room for it. The connection must be
// closed when evict is called, from any goroutine, with whether it has been in its state for long. A nil account has no limits.
func (a *Account) Add(bytes int64, evict func(slow bool)) (*Hold, bool) {
	if a == nil {
		return nil, true
	}
	h := &Hold{account: a, evict: evict, bytes: bytes}
	evicted, ok := a.add(h)
	closeAll(evicted)
	return h, ok
}

func (a *Account) add(h *Hold) ([]*Hold, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var evicted []*Hold
	for a.Connections != 0 && a.open >= a.Connections {
		victim := a.remove(nil, ConnectionClosed)
		if victim == nil {
			a.noteLocked(ConnectionRefused)
			return evicted, false
		}
		evicted = append(evicted, victim)
	}
	more, ok := a.makeRoom(nil, h.bytes)
	evicted = append(evicted, more...)
	if !ok {
		a.noteLocked(MemoryRefused)
		return evicted, false
	}
	a.open++
	a.used += h.bytes
	h.setState(Arriving)
	return evicted, true
}

// closeAll closes connections that were removed; mu must not be held.
func closeAll(evicted []*Hold) {
	for _, h := range evicted {
		h.evict(time.Since(h.since) >= slowAfter)
	}
}

// makeRoom removes connections other than except, which the caller closes, until a further number of bytes fits; it returns false if they
// can't.
func (a *Account) makeRoom(except *Hold, bytes int64) ([]*Hold, bool) {
	if except.size()+bytes > a.Bytes {
		return nil, false
	}
	var evicted []*Hold
	for a.used+bytes > a.Bytes {
		victim := a.remove(except, MemoryClosed)
		if victim == nil {
			return evicted, false
		}
		evicted = append(evicted, victim)
	}
	return evicted, true
}

// remove removes the connection other than except that has kept the entry waiting for longest; it returns nil if there is none.
func (a *Account) remove(except *Hold, limit Limit) *Hold {
	victim := a.victim(except)
	if victim != nil {
		a.noteLocked(limit)
		victim.remove()
	}
	return victim
}

// release gives bytes back and wakes those that wait for some.
func (a *Account) release(bytes int64) {
	a.used -= bytes
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// victim returns the connection that is closed first if there is no room, nil if there is none: one that has kept the entry waiting for
// long, else an idle one, else the one that was opened first of those whose request hasn't arrived. The latter lets ordinary callers in
// beside a crowd that reconnects at once: their requests arrive with their connections.
func (a *Account) victim(except *Hold) *Hold {
	for _, choice := range []struct {
		state State
		age   time.Duration
	}{{Waiting, slowAfter}, {Arriving, slowAfter}, {Idle, 0}, {Arriving, 0}} {
		h := a.longest(choice.state, except)
		if h != nil && time.Since(h.since) >= choice.age {
			return h
		}
	}
	return nil
}

// longest returns the connection other than except that has been in the state for longest, nil if there is none.
func (a *Account) longest(state State, except *Hold) *Hold {
	for e := a.waits[state].Front(); e != nil; e = e.Next() {
		h := e.Value.(*Hold)
		if h != except {
			return h
		}
	}
	return nil
}

// Note counts and logs that a limit has acted; a nil account does nothing.
func (a *Account) Note(limit Limit) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteLocked(limit)
}

// noteLocked writes at most one line in each reportInterval, with the number of clients since the last one.
func (a *Account) noteLocked(limit Limit) {
	r := &a.reports[limit]
	r.total++
	now := time.Now()
	if r.logged != 0 && now.Sub(r.loggedAt) < reportInterval {
		return
	}
	a.Log.Write(event.ClientsLimited, event.Fields{
		"listener": a.Listener, "reason": limits[limit].reason, "action": limits[limit].action, "clients": r.total - r.logged,
		"held_bytes": a.used, "limit_bytes": a.Bytes, "connections": a.open, "limit_connections": a.Connections,
	})
	r.logged, r.loggedAt = r.total, now
}

// Count returns how often the limit has acted.
func (a *Account) Count(limit Limit) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reports[limit].total
}
