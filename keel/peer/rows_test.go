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

// TestRowsForFewPeersAtOnce asks for rows 40 times at once, as entries do that all start together.
func TestRowsForFewPeersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var now, most atomic.Int64
		node := &peer.Node{Timeout: time.Second, ServeRows: func(peer.RowsRequest) peer.RowsResult {
			most.Store(max(most.Load(), now.Add(1)))
			time.Sleep(100 * time.Millisecond)
			now.Add(-1)
			return peer.RowsResult{Complete: true}
		}}
		listener := fasthttputil.NewInmemoryListener()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = node.Serve(ctx, listener) }()
		from := caller(func(string) (net.Conn, error) { return listener.Dial() })
		began := time.Now()
		var answered, refused atomic.Int64
		var asking sync.WaitGroup
		for range 40 {
			asking.Go(func() {
				_, err := from.FetchRows(ctx, "a", peer.RowsRequest{})
				if err == nil {
					answered.Add(1)
					return
				}
				refused.Add(1)
				assert.Check(t, time.Since(began) < 100*time.Millisecond, "refused late")
			})
		}
		asking.Wait()
		assert.Equal(t, most.Load(), int64(2))
		assert.Equal(t, answered.Load(), int64(2))
		assert.Equal(t, refused.Load(), int64(38))
		cancel()
		from.Close()
		node.Close()
		time.Sleep(time.Minute)
	})
}
