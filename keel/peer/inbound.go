package peer

import (
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/memory"
)

const (
	// connBytes is what a connection that a peer opened holds: buffers and stacks. The kernel queues requests only while one waits for
	// memory.
	connBytes = 24 << 10
	// firstMessageBytes is the initial size of the buffer for a message.
	firstMessageBytes = 4 << 10
)

// inbound holds the memory of the requests that arrive on one connection, from their first byte to the response. A nil inbound, that of a
// connection that this entry opened, has no limit.
type inbound struct {
	hold *memory.Hold
	// timeout is how long a message waits for memory.
	timeout time.Duration

	mu sync.Mutex
	// message is what the message that is being read, or was read last, holds in bytes.
	message  int64
	reading  bool
	inFlight int
}

// begin records that the first byte of a message has arrived; what is held for the message before, which had no handler, is given back.
func (i *inbound) begin() {
	if i == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reading = true
	i.hold.Shrink(i.message)
	i.message = 0
	i.setState()
}

// grow holds bytes for the message that is being read; it fails with kind Overloaded if there is no room within the timeout.
func (i *inbound) grow(bytes int64) error {
	if i == nil {
		return nil
	}
	if !i.hold.GrowWithin(i.timeout, bytes) {
		return fault.New(fault.Overloaded, "no memory for a message, %d bytes needed", bytes)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.message += bytes
	return nil
}

// serve records that the message is being served and returns the function that ends this.
func (i *inbound) serve() func() {
	if i == nil {
		return func() {}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	held := i.message
	i.message = 0
	i.inFlight++
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.hold.Shrink(held)
		i.inFlight--
		i.setState()
	}
}

// read records that the message has arrived.
func (i *inbound) read() {
	if i == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reading = false
	i.setState()
}

// setState sets what the connection waits for.
func (i *inbound) setState() {
	switch {
	case i.reading:
		i.hold.SetState(memory.Waiting)
	case i.inFlight > 0:
		i.hold.SetState(memory.Busy)
	default:
		i.hold.SetState(memory.Idle)
	}
}
