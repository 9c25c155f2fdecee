package event_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
)

// blockedWriter is a log output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.data.Write(line)
}

// count returns the number of lines written without the reports of dropped lines, and the number of lines that these
// reports give as dropped.
func (w *blockedWriter) count(t *testing.T) (lines, dropped int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	scanner := bufio.NewScanner(bytes.NewReader(w.data.Bytes()))
	for scanner.Scan() {
		var line struct {
			Event event.ID `json:"event"`
			Lines int      `json:"lines"`
		}
		assert.NilError(t, json.Unmarshal(scanner.Bytes(), &line))
		if line.Event == event.LogLinesDropped {
			dropped += line.Lines
			continue
		}
		lines++
	}
	return lines, dropped
}

// TestStuckReader checks that a log without a reader blocks no caller, and that each line is written or counted as
// dropped.
func TestStuckReader(t *testing.T) {
	const writers, each = 8, 3000
	out := &blockedWriter{unblock: make(chan struct{})}
	log := event.NewBounded(out, event.LinesPerSecond)
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for i := range each {
				log.Write(event.EntryStarted, event.Fields{"incarnation": fmt.Sprint(i)})
			}
		})
	}
	written := make(chan struct{})
	go func() { group.Wait(); close(written) }()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("log writes block while the log has no reader")
	}
	close(out.unblock)
	log.Close()
	// Close doesn't wait for a slow reader, which goes on reading.
	lines, dropped := out.count(t)
	for deadline := time.Now().Add(10 * time.Second); lines+dropped < writers*each && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
		lines, dropped = out.count(t)
	}
	assert.Equal(t, lines+dropped, writers*each)
	assert.Assert(t, dropped > 0)
}

// TestStuckReaderAtEnd checks that Close returns although the log has no reader.
func TestStuckReaderAtEnd(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	log := event.NewBounded(out, event.LinesPerSecond)
	log.Write(event.EntryStarted, nil)
	closed := make(chan struct{})
	go func() { log.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("Close blocks while the log has no reader")
	}
	close(out.unblock)
}

// TestBoundedRate checks that warnings are written although lines of lower levels have used up their rate limit.
func TestBoundedRate(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	log := event.NewBounded(out, 10)
	for range 1000 {
		log.Write(event.EntryStarted, nil)
	}
	for range 5 {
		log.Write(event.LeaderLost, nil)
	}
	log.Close()
	lines, dropped := out.count(t)
	assert.Assert(t, lines >= 15 && lines <= 20, "%d lines", lines)
	assert.Equal(t, lines+dropped, 1005)
}
