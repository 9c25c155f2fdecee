package peer_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/peer"
)

// TestAttachmentsArriveUnchanged sends attachments and JSON parameters on one link at the same time.
func TestAttachmentsArriveUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		received := make(map[int]int)
		echo := func(_ context.Context, in []int) []int { return in }
		server := &peer.Node{Timeout: time.Second, Methods: map[string]peer.Method{
			"echo": peer.NewMethod(echo),
			"take": peer.NewAttachedMethod(func(_ context.Context, in peer.Attachment) error {
				if !bytes.Equal(in, bytes.Repeat([]byte{'{', 0, 255}, len(in)/3)) {
					return errors.New("changed")
				}
				mu.Lock()
				defer mu.Unlock()
				received[len(in)]++
				return nil
			}),
		}}
		listener := fasthttputil.NewInmemoryListener()
		go func() { _ = server.Serve(ctx, listener) }()
		dials := 0
		node := newClient(func(string) (net.Conn, error) { dials++; return listener.Dial() })
		var calls sync.WaitGroup
		sizes := []int{3, 300, 30000}
		for _, size := range sizes {
			calls.Go(func() {
				attachment := peer.Attachment(bytes.Repeat([]byte{'{', 0, 255}, size/3))
				assert.Check(t, node.Call(ctx, "b", "take", attachment, &struct{}{}))
			})
			calls.Go(func() {
				var out []int
				assert.Check(t, node.Call(ctx, "b", "echo", []int{size}, &out))
				assert.Check(t, len(out) == 1 && out[0] == size)
			})
		}
		calls.Wait()
		for _, size := range sizes {
			assert.Equal(t, received[size], 1)
		}
		for _, in := range []any{peer.Attachment("xyz"), peer.Attachment{}} {
			err := node.Call(ctx, "b", "take", in, &struct{}{})
			assert.Check(t, fault.As(err).Outcome() == fault.Unknown, "%v", err)
		}
		assert.Equal(t, dials, 1)
		node.Close()
		server.Close()
		cancel()
		synctest.Wait()
	})
}
