package daemon_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/platform"
)

// pullDuration is how long the peers of TestFailedPullTriesNextPeer take to serve a request for rows.
const pullDuration = 100 * time.Millisecond

// startAheadPeer starts a peer that has all rows of the table and serves them after pullDuration if complete is true,
// and otherwise fails requests for rows after pullDuration. The returned function sends one heartbeat to an entry.
func (c *testCluster) startAheadPeer(dataCentre, host string, complete bool) func(entry string) {
	ctx := c.t.Context()
	scan := func(after uint64) platform.ScanResult {
		return c.platform.Table().Scan(platform.ScanRequest{Prefix: fleet.Prefix, After: after})
	}
	address := host + ":" + peersPort
	rows := scan(0).Rows
	node := &peer.Node{
		Timeout: time.Second,
		Dial: func(address string, timeout time.Duration) (net.Conn, error) {
			return c.network.Dial(dataCentre, address, timeout)
		},
		Heartbeat: func() peer.Heartbeat {
			return peer.Heartbeat{Incarnation: host + "-1", DataCentre: dataCentre, Address: address, AppliedVersion: rows[len(rows)-1].Version}
		},
		OnHeartbeat: func(peer.Heartbeat) {},
		ServeRows: func(request peer.RowsRequest) peer.RowsResult {
			time.Sleep(pullDuration)
			return peer.RowsResult{Result: scan(request.After), Complete: complete}
		},
	}
	listener, err := c.network.Listen(dataCentre, address)
	assert.NilError(c.t, err)
	go func() { _ = node.Serve(ctx, listener) }()
	context.AfterFunc(ctx, node.Close)
	return func(entry string) {
		target := c.entries[entry].host + ":" + peersPort
		node.Broadcast(ctx, []string{target}, map[string]bool{target: true})
		synctest.Wait()
	}
}

// TestFailedPullTriesNextPeer sends an entry the heartbeats of two peers that have a settings change that it lacks, the
// second one while its pull from the first, which fails, is running: it must pull from the second one at once, since
// neither sends another heartbeat.
func TestFailedPullTriesNextPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "worcester", "lowell")
		defer c.close()
		c.addEntry("worcester", "w1", "w1")
		c.addEntry("lowell", "l1", "l1")
		time.Sleep(20 * time.Second)
		platformCommand(c, []string{`{"cut":["lowell"]}`})
		c.network.SetPartitioned("worcester", "lowell", true)
		response := setCommand(c, []string{"w1", "quabbin", `route.request_timeout="1s"`})
		assert.Equal(t, response, "200 {\"revision\":1}\n")
		time.Sleep(10 * time.Second)
		failing := c.startAheadPeer("lowell", "p1", false)
		serving := c.startAheadPeer("lowell", "p2", true)
		began := time.Now()
		failing("l1")
		time.Sleep(pullDuration / 2)
		serving("l1")
		time.Sleep(2 * pullDuration)
		synctest.Wait()
		assert.Equal(t, c.lastApplied(1).Sub(began), 2*pullDuration)
	})
}

// Guards against a final 404 for a service that was added while the entry could read the settings neither from the table
// nor from its peers.
func TestServiceUnknownToStaleEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "worcester", "lowell")
		defer c.close()
		c.addEntry("worcester", "w1", "w1")
		c.addEntry("lowell", "l1", "l1")
		time.Sleep(20 * time.Second)
		submit := func(entry, key string) string { return jobCommand(c, []string{entry, "quabbin/floor", key, "1000"}) }
		assert.Assert(t, strings.HasPrefix(submit("l1", "a"), "404"))
		platformCommand(c, []string{`{"cut":["lowell"]}`})
		c.network.SetPartitioned("worcester", "lowell", true)
		for _, path := range []string{"quabbin", "quabbin/floor-pool", "quabbin/floor-pool/floor"} {
			setCommand(c, []string{"w1", path})
		}
		time.Sleep(10 * time.Second)
		response := submit("l1", "b")
		assert.Assert(t, strings.HasPrefix(response, "503"), response)
		platformCommand(c, []string{"{}"})
		c.network.SetPartitioned("worcester", "lowell", false)
		time.Sleep(10 * time.Second)
		response = submit("l1", "c")
		assert.Assert(t, strings.HasPrefix(response, "200"), response)
	})
}
