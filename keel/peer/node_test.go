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
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/peer"
)

// heartbeatTimes records the times of the heartbeats that a node received.
type heartbeatTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (b *heartbeatTimes) add(peer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = append(b.at, time.Now())
}

func (b *heartbeatTimes) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.at)
}

// startNode starts a node that serves a listener and records heartbeats.
func startNode(ctx context.Context, serveClaimQuery func(context.Context, claim.HolderQuery) claim.HolderResponse) (*heartbeatTimes, *fasthttputil.InmemoryListener) {
	received := &heartbeatTimes{}
	node := &peer.Node{Timeout: time.Second, OnHeartbeat: received.add, ServeClaimQuery: serveClaimQuery}
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = node.Serve(ctx, listener) }()
	context.AfterFunc(ctx, node.Close)
	return received, listener
}

// newClient returns a node that opens links with the function.
func newClient(dial func(address string) (net.Conn, error)) *peer.Node {
	return &peer.Node{
		Timeout: time.Second, Heartbeat: func() peer.Heartbeat { return peer.Heartbeat{Incarnation: "a"} },
		Dial: func(address string, _ time.Duration) (net.Conn, error) { return dial(address) },
	}
}

// TestMalformedFrames sends each frame of the table to a node, which must continue to serve other connections.
func TestMalformedFrames(t *testing.T) {
	table, err := os.ReadFile("testdata/frames.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(table)) {
		prefix, frameText, found := strings.Cut(strings.TrimSpace(line), ":")
		if !found || strings.HasPrefix(prefix, "#") {
			continue
		}
		name, durationText, _ := strings.Cut(prefix, " ")
		closeTimeout, err := time.ParseDuration(durationText)
		assert.NilError(t, err)
		t.Run(name, func(t *testing.T) {
			frame, err := hex.DecodeString(strings.TrimSpace(frameText))
			assert.NilError(t, err)
			synctest.Test(t, func(t *testing.T) { checkMalformedFrame(t, frame, closeTimeout) })
		})
	}
}

// checkMalformedFrame checks that the connection of the frame is closed within closeTimeout and that others are served.
func checkMalformedFrame(t *testing.T, frame []byte, closeTimeout time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	received, listener := startNode(ctx, nil)
	conn, err := listener.Dial()
	assert.NilError(t, err)
	began := time.Now()
	closed := make(chan time.Duration, 1)
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		closed <- time.Since(began)
	}()
	_, _ = conn.Write(frame)
	node := newClient(func(string) (net.Conn, error) { return listener.Dial() })
	node.Broadcast(ctx, []string{"b"}, map[string]bool{"b": true})
	time.Sleep(30 * time.Second)
	assert.Check(t, received.count() == 1)
	node.Close()
	cancel()
	took := <-closed
	assert.Check(t, took <= closeTimeout, "closed after %s", took)
	_ = conn.Close()
	synctest.Wait()
}

// TestUnresponsiveLinkIsReplaced drops all writes on an open link: a heartbeat arrives on a new one within 2 s.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		received, listener := startNode(ctx, nil)
		var opened []*droppingConn
		node := newClient(func(string) (net.Conn, error) {
			conn, err := listener.Dial()
			opened = append(opened, &droppingConn{Conn: conn})
			return opened[len(opened)-1], err
		})
		for range 4 {
			node.Broadcast(ctx, []string{"b"}, map[string]bool{"b": true})
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, received.count(), 4)
		synctest.Wait()
		opened[0].startDropping()
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

// droppingConn drops all writes after startDropping.
type droppingConn struct {
	net.Conn
	mu       sync.Mutex
	dropping bool
}

func (c *droppingConn) startDropping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping = true
}

func (c *droppingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropping {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// TestUnreachablePeersDelayNoOthers checks that heartbeats reach one peer on time while 200 others can't be reached.
func TestUnreachablePeersDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		received, listener := startNode(ctx, nil)
		var mu sync.Mutex
		dials := 0
		node := newClient(func(address string) (net.Conn, error) {
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

// TestLateResponseIsDropped abandons a request: the next one gets its own response and not the late one.
func TestLateResponseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		_, listener := startNode(ctx, func(_ context.Context, query claim.HolderQuery) claim.HolderResponse {
			if query.Key == "slow" {
				time.Sleep(300 * time.Millisecond)
			}
			return claim.HolderResponse{State: claim.RequestDone, Response: &claim.Response{Body: []byte(query.Key)}}
		})
		dials := 0
		node := newClient(func(string) (net.Conn, error) { dials++; return listener.Dial() })
		shortCtx, cancelShort := context.WithTimeout(ctx, 100*time.Millisecond)
		_, err := node.QueryClaim(shortCtx, "b", claim.HolderQuery{Key: "slow"})
		cancelShort()
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

// TestCallsToUnreachablePeerWaitTogether makes many calls to an address that doesn't respond: all of them fail when the
// attempt to connect does, and not one after another.
func TestCallsToUnreachablePeerWaitTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newClient(func(string) (net.Conn, error) {
			time.Sleep(time.Second)
			return nil, errors.New("timeout")
		})
		began := time.Now()
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				err := node.CallWithTimeout(t.Context(), 2*time.Second, "b", "method", struct{}{}, &struct{}{})
				assert.Check(t, fault.As(err).Outcome() == fault.NotRun, "%v", err)
			})
		}
		group.Wait()
		assert.Check(t, time.Since(began) <= time.Second, "all failed after %s", time.Since(began))

		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began = time.Now()
		err := node.Call(ctx, "b", "method", struct{}{}, &struct{}{})
		assert.Check(t, fault.As(err).Outcome() == fault.NotRun, "%v", err)
		assert.Check(t, time.Since(began) <= 100*time.Millisecond, "failed after %s", time.Since(began))
		node.Close()
		time.Sleep(time.Second)
	})
}
