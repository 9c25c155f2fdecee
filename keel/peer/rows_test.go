package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/peer"
)

// TestConcurrentRowResponsesAreLimited sends 40 requests for rows at the same time, as entries that start together do:
// two are served and the others are rejected immediately, so that the responses can't exhaust the memory.
func TestConcurrentRowResponsesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current, maximum atomic.Int64
		node := &peer.Node{Timeout: time.Second, ServeRows: func(peer.RowsRequest) peer.RowsResult {
			maximum.Store(max(maximum.Load(), current.Add(1)))
			time.Sleep(100 * time.Millisecond)
			current.Add(-1)
			return peer.RowsResult{Complete: true}
		}}
		listener := fasthttputil.NewInmemoryListener()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = node.Serve(ctx, listener) }()
		client := newClient(func(string) (net.Conn, error) { return listener.Dial() })
		began := time.Now()
		var served, rejected atomic.Int64
		var requests sync.WaitGroup
		for range 40 {
			requests.Go(func() {
				_, err := client.FetchRows(ctx, "a", peer.RowsRequest{})
				if err == nil {
					served.Add(1)
					return
				}
				rejected.Add(1)
				assert.Check(t, time.Since(began) < 100*time.Millisecond, "rejected late")
			})
		}
		requests.Wait()
		assert.Equal(t, maximum.Load(), int64(2))
		assert.Equal(t, served.Load(), int64(2))
		assert.Equal(t, rejected.Load(), int64(38))
		cancel()
		client.Close()
		node.Close()
		time.Sleep(time.Minute)
	})
}
