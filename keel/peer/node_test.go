package peer_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/peer"
)

// beats collects the times of the heartbeats that a node received.
type beats struct {
	mu sync.Mutex
	at []time.Time
}

func (b *beats) add(peer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = append(b.at, time.Now())
}

func (b *beats) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.at)
}

// serve starts a node that answers on a listener and collects heartbeats.
func serve(ctx context.Context, asked func(context.Context, claim.HolderQuery) claim.HolderResponse) (*beats, *fasthttputil.InmemoryListener) {
	received := &beats{}
	node := &peer.Node{Timeout: time.Second, OnHeartbeat: received.add, ServeClaimQuery: asked}
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = node.Serve(ctx, listener) }()
	context.AfterFunc(ctx, node.Close)
	return received, listener
}

// caller returns a node that dials by the function.
func caller(dial func(address string) (net.Conn, error)) *peer.Node {
	return &peer.Node{
		Timeout: time.Second, Heartbeat: func() peer.Heartbeat { return peer.Heartbeat{Incarnation: "a"} },
		Dial: func(address string, _ time.Duration) (net.Conn, error) { return dial(address) },
	}
}

// TestOddFrames sends each frame of the table to a node, which must go on answering others.
func TestOddFrames(t *testing.T) {
	table, err := os.ReadFile("testdata/frames.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(table)) {
		head, text, found := strings.Cut(strings.TrimSpace(line), ":")
		if !found || strings.HasPrefix(head, "#") {
			continue
		}
		name, limit, _ := strings.Cut(head, " ")
		within, err := time.ParseDuration(limit)
		assert.NilError(t, err)
		t.Run(name, func(t *testing.T) {
			frame, err := hex.DecodeString(strings.TrimSpace(text))
			assert.NilError(t, err)
			synctest.Test(t, func(t *testing.T) { oddFrame(t, frame, within) })
		})
	}
}

// oddFrame expects the connection of the frame to be closed within the time, and others to be served.
func oddFrame(t *testing.T, frame []byte, within time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	received, listener := serve(ctx, nil)
	odd, err := listener.Dial()
	assert.NilError(t, err)
	began := time.Now()
	closed := make(chan time.Duration, 1)
	go func() {
		_, _ = io.Copy(io.Discard, odd)
		closed <- time.Since(began)
	}()
	_, _ = odd.Write(frame)
	node := caller(func(string) (net.Conn, error) { return listener.Dial() })
	node.Broadcast(ctx, []string{"b"}, map[string]bool{"b": true})
	time.Sleep(30 * time.Second)
	assert.Check(t, received.count() == 1)
	node.Close()
	cancel()
	took := <-closed
	assert.Check(t, took <= within, "closed after %s", took)
	_ = odd.Close()
	synctest.Wait()
}

// TestSilentLinkIsReplaced makes an open link silent: a heartbeat arrives on a new one within 2 s.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		received, listener := serve(ctx, nil)
		var opened []*silentConn
		node := caller(func(string) (net.Conn, error) {
			conn, err := listener.Dial()
			opened = append(opened, &silentConn{Conn: conn})
			return opened[len(opened)-1], err
		})
		for range 4 {
			node.Broadcast(ctx, []string{"b"}, map[string]bool{"b": true})
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, received.count(), 4)
		synctest.Wait()
		opened[0].silence()
		for range 4 {
			node.Broadcast(ctx, []string{"b"}, map[string]bool{"b": true})
			time.Sleep(500 * time.Millisecond)
		}
		synctest.Wait()
		assert.Equal(t, len(opened), 2)
		assert.Assert(t, received.count() > 4)
		node.Close()
		cancel()
		synctest.Wait()
	})
}

// silentConn drops what is written once it is silent.
type silentConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *silentConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *silentConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// TestDeadPeersDelayNobody has 200 peers that can't be reached: heartbeats to the others go out on time.
func TestDeadPeersDelayNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		received, listener := serve(ctx, nil)
		var mu sync.Mutex
		dials := 0
		node := caller(func(address string) (net.Conn, error) {
			if address == "b" {
				return listener.Dial()
			}
			mu.Lock()
			dials++
			mu.Unlock()
			time.Sleep(900 * time.Millisecond)
			return nil, errors.New("timeout")
		})
		known := map[string]bool{"b": true}
		for i := range 200 {
			known[fmt.Sprint(i)] = true
		}
		addresses := slices.Sorted(maps.Keys(known))
		for range 20 {
			node.Broadcast(ctx, addresses, known)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Check(t, received.count() == 20)
		assert.Check(t, dials <= 200*5, "%d dials in 10 s", dials)
		node.Close()
		cancel()
		synctest.Wait()
	})
}

// TestLateAnswerIsDropped gives up a question; the next one gets its own answer and not the late one.
func TestLateAnswerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		_, listener := serve(ctx, func(_ context.Context, ask claim.HolderQuery) claim.HolderResponse {
			if ask.Key == "slow" {
				time.Sleep(300 * time.Millisecond)
			}
			return claim.HolderResponse{State: claim.RequestDone, Response: &claim.Response{Body: []byte(ask.Key)}}
		})
		dials := 0
		node := caller(func(string) (net.Conn, error) { dials++; return listener.Dial() })
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		_, err := node.QueryClaim(short, "b", claim.HolderQuery{Key: "slow"})
		stop()
		assert.ErrorContains(t, err, "deadline")
		for _, key := range []string{"one", "slow", "two"} {
			got, err := node.QueryClaim(ctx, "b", claim.HolderQuery{Key: key})
			assert.NilError(t, err)
			assert.Equal(t, string(got.Response.Body), key)
		}
		assert.Equal(t, dials, 1)
		node.Close()
		cancel()
		synctest.Wait()
	})
}
