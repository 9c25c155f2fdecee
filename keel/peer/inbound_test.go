package peer_test

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/memory"
	"samphirekeel.example/keel/peer"
)

// limitedNode starts a node whose connections may hold the bytes, and returns its account and listener.
func limitedNode(t *testing.T, bytes int64, serve func(context.Context, claim.HolderQuery) claim.HolderResponse) (*memory.Account, *fasthttputil.InmemoryListener) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	account := &memory.Account{Bytes: bytes}
	node := &peer.Node{Timeout: time.Second, OnHeartbeat: func(peer.Heartbeat) {}, ServeClaimQuery: serve, Account: account}
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = node.Serve(ctx, listener) }()
	context.AfterFunc(ctx, node.Close)
	return account, listener
}

// sendPart sends the length of a message and a part of it, until the node closes the connection.
func sendPart(t *testing.T, listener *fasthttputil.InmemoryListener, length, part int) net.Conn {
	conn, err := listener.Dial()
	assert.NilError(t, err)
	go func() { _, _ = conn.Write(append(binary.AppendUvarint(nil, uint64(length)), make([]byte, part)...)) }()
	return conn
}

// Guards against clients that hold all memory with messages that don't end: an entry's call takes their place.
func TestUnfinishedMessagesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account, listener := limitedNode(t, 1_000_000, func(context.Context, claim.HolderQuery) claim.HolderResponse { return claim.HolderResponse{} })
		for range 20 {
			defer sendPart(t, listener, 200_000, 100_000).Close()
		}
		client := newClient(func(string) (net.Conn, error) { return listener.Dial() })
		defer client.Close()
		for range 5 {
			_, err := client.QueryClaim(t.Context(), "a", claim.HolderQuery{})
			if err == nil {
				break
			}
			time.Sleep(time.Second)
		}
		_, err := client.QueryClaim(t.Context(), "a", claim.HolderQuery{})
		assert.NilError(t, err)
		assert.Assert(t, account.Count(memory.MemoryClosed) > 0)
		assert.Assert(t, account.Used() <= account.Bytes)
	})
}

// Guards against requests that hold memory without a limit while they are served, and against one that is lost for that. The clock is
// the real one, since goroutines that wait for a mutex keep a fake one from advancing.
func TestRequestsWaitForMemory(t *testing.T) {
	var serving, most atomic.Int64
	account, listener := limitedNode(t, 150_000, func(context.Context, claim.HolderQuery) claim.HolderResponse {
		most.Store(max(most.Load(), serving.Add(1)))
		time.Sleep(5 * time.Millisecond)
		serving.Add(-1)
		return claim.HolderResponse{}
	})
	client := newClient(func(string) (net.Conn, error) { return listener.Dial() })
	client.Timeout = time.Minute
	done := make(chan error)
	const calls = 50
	for range calls {
		go func() {
			_, err := client.QueryClaim(context.Background(), "a", claim.HolderQuery{Key: strings.Repeat("x", 1000)})
			done <- err
		}()
	}
	for range calls {
		assert.Check(t, <-done)
	}
	assert.Assert(t, most.Load() > 1 && most.Load() < calls, most.Load())
	assert.Equal(t, account.Count(memory.MemoryRefused), int64(0))
	client.Close()
	for account.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a message for which there can't be memory: its connection is closed at once.
func TestMessageWithoutMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account, listener := limitedNode(t, 150_000, nil)
		conn := sendPart(t, listener, 1_000_000, 300_000)
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "EOF")
		synctest.Wait()
		assert.Equal(t, account.Count(memory.MemoryRefused), int64(1))
		assert.Equal(t, account.Used(), int64(0))
	})
}
