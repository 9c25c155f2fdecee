package platform_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
)

// TestHTTPReportsOutcome checks that a call that fails before it is sent has outcome not_run, and later ones unknown.
func TestHTTPReportsOutcome(t *testing.T) {
	for _, c := range []struct {
		name           string
		serve          func(net.Conn)
		deadlinePassed bool
		listenerClosed bool
		outcome        fault.Outcome
	}{
		{name: "no listener", listenerClosed: true, outcome: fault.NotRun},
		{name: "deadline passed", deadlinePassed: true, outcome: fault.NotRun},
		{name: "connection closed after the request", serve: func(conn net.Conn) { readSome(conn); _ = conn.Close() }, outcome: fault.Unknown},
		{name: "truncated response", serve: func(conn net.Conn) {
			readSome(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
			_ = conn.Close()
		}, outcome: fault.Unknown},
		{name: "no response", serve: readSome, outcome: fault.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close() //nolint:errcheck // a test's listener
			if c.listenerClosed {
				_ = listener.Close()
			}
			go serveConns(listener, c.serve)
			client := (&platform.HTTP{Address: listener.Addr().String(), Timeout: time.Second, MaxConns: 2}).Client()
			timeout := 300 * time.Millisecond
			if c.deadlinePassed {
				timeout = -time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			err = client.Call(ctx, platform.MethodGet, platform.GetRequest{}, &platform.GetResult{})
			assert.Assert(t, fault.IsKind(err, fault.PlatformUnavailable), "%v", err)
			assert.Equal(t, fault.As(err).Outcome(), c.outcome, "%v", err)
		})
	}
}

func readSome(conn net.Conn) { _, _ = conn.Read(make([]byte, 4096)) }

func serveConns(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if serve != nil {
			serve(conn)
		}
	}
}

// TestResolveAfterLostResponses checks that Resolve finds a transaction by its token after Commit lost every response.
func TestResolveAfterLostResponses(t *testing.T) {
	fake := platformtest.New()
	inner := fake.Client("worcester")
	lossy := &platform.Client{Call: func(ctx context.Context, method string, in, _ any) error {
		if method == platform.MethodCommit {
			_ = inner.Call(ctx, method, in, &platform.CommitResult{})
		}
		return fault.New(fault.PlatformUnavailable, "response lost").WithOutcome(fault.Unknown)
	}}
	txn := create("a", `1`)
	_, err := lossy.Commit(t.Context(), txn)
	assert.Equal(t, fault.As(err).Outcome(), fault.Unknown)
	result, err := inner.Resolve(t.Context(), txn)
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(1))
	_, err = inner.Resolve(t.Context(), create("b", `2`))
	assert.Assert(t, fault.IsKind(err, fault.NotExist))
}
