package daemon

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/platform"
)

const (
	// maxPeerRows is the maximum number of rows in one response to a peer.
	maxPeerRows = 500
	// replicaReadTimeout is the timeout for reading all pages of the control rows.
	replicaReadTimeout = 30 * time.Second
	// pageAttempts is the maximum number of attempts to read one page.
	pageAttempts = 3
	// readerRotation is the time for which one entry of a data centre reads the table on behalf of the others.
	readerRotation = 10 * time.Second
	// readerFallbackDelay, times its rank, is the time after which an entry whose replica was not confirmed reads the
	// table itself.
	readerFallbackDelay = time.Second
	// maxReplicaAge is the time within which a change of the settings is in force everywhere. An entry whose replica was not
	// confirmed for so long may lack one.
	maxReplicaAge = 4 * time.Second
)

// replicaState is the state of the entry's replica of the control rows; it belongs to the control loop.
type replicaState struct {
	// complete reports that the replica has held all rows at least once.
	complete bool
	// checkedAt is the last time at which the replica was known to hold every row of the table.
	checkedAt          time.Time
	reading, readAgain bool
	pulling            bool
	// aheadPeers holds the newest heartbeat of each peer that has rows that this entry lacks, in the order of arrival.
	// A pull takes its peer's heartbeat off the list.
	aheadPeers []peer.Heartbeat
	// configuredPulls counts the pulls from configured peers before the replica was complete.
	configuredPulls int
}

// refreshReplica reads the table if this entry is its data centre's reader, or if the entries that rank before it have
// not confirmed the replica for too long.
func (d *Daemon) refreshReplica() {
	if !d.replica.complete {
		d.pullFromConfiguredPeer()
	}
	rank := d.readerRank(time.Now())
	if time.Since(d.replica.checkedAt) >= time.Duration(rank)*readerFallbackDelay {
		d.fetchRows()
	}
}

// readerRank returns the number of entries of the data centre that read the table before this one does; the ranks
// rotate with every readerRotation. It is 0 for an unregistered entry.
func (d *Daemon) readerRank(now time.Time) int {
	var names []string
	for _, member := range d.session.Registered() {
		if member.DataCentre == d.Config.DataCentre {
			names = append(names, member.Incarnation)
		}
	}
	index := slices.Index(names, d.session.Self.Incarnation)
	if index < 0 {
		return 0
	}
	first := int(now.UnixNano()/int64(readerRotation)) % len(names)
	return (index - first + len(names)) % len(names)
}

// fetchRows reads the new control rows from the table. A call during a read starts another read after it.
func (d *Daemon) fetchRows() {
	if d.replica.reading {
		d.replica.readAgain = true
		return
	}
	d.replica.reading = true
	sentAt := time.Now()
	after := d.view.Cache().Through()
	control.Call(d.loop, replicaReadTimeout,
		func(ctx context.Context) (platform.ScanResult, error) { return d.scanRows(ctx, after) },
		func(result platform.ScanResult, err error) {
			d.replica.reading = false
			if err == nil {
				d.replica.checkedAt = sentAt
				d.applyRows(after, result)
				d.replicaCheckedAt.Store(&sentAt)
			}
			if d.replica.readAgain {
				d.replica.readAgain = false
				d.fetchRows()
			}
		})
}

// refreshView reads the control rows that the table has now and waits until they are applied; it must not be called on
// the control loop.
func (d *Daemon) refreshView(ctx context.Context) error {
	var after uint64
	err := d.readView(ctx, func(view *fleet.View) { after = view.Cache().Through() })
	if err != nil {
		return err
	}
	result, err := d.scanRows(ctx, after)
	if err != nil {
		return err
	}
	return d.readView(ctx, func(*fleet.View) { d.applyRows(after, result) })
}

// scanRows reads the control rows that the table has after the given version.
func (d *Daemon) scanRows(ctx context.Context, after uint64) (platform.ScanResult, error) {
	timeout := time.Duration(d.Config.Platform.Timeout)
	return readPages(ctx, timeout, after, func(ctx context.Context, after uint64) (platform.ScanResult, error) {
		return d.Client.Scan(ctx, platform.ScanRequest{Prefix: fleet.Prefix, After: after})
	})
}

// readPages reads all pages of a scan and joins them, since a single page is not a consistent state of the table. It
// fails on the first error while it has no rows yet, and otherwise makes up to pageAttempts attempts to read a page.
func readPages(
	ctx context.Context, timeout time.Duration, after uint64,
	read func(context.Context, uint64) (platform.ScanResult, error),
) (platform.ScanResult, error) {
	var result platform.ScanResult
	attempts := 0
	for {
		pageCtx, cancel := context.WithTimeout(ctx, timeout)
		page, err := read(pageCtx, after)
		cancel()
		attempts++
		if err != nil && (attempts == pageAttempts || len(result.Rows) == 0) {
			return result, err
		}
		if err != nil {
			continue
		}
		attempts = 0
		result.Rows = append(result.Rows, page.Rows...)
		result.Through = page.Through
		if !page.More {
			return result, nil
		}
		after = page.Through
	}
}

// applyRows applies all rows that the table or a peer has after the given version, and publishes the changes to routing
// and to peers. The first call makes the entry ready.
func (d *Daemon) applyRows(after uint64, result platform.ScanResult) {
	oldRevision := d.view.Settings().Tree.Revision()
	changed, err := d.view.Apply(after, result)
	if err != nil {
		d.Log.Write(event.RowUnreadable, event.Fields{"reason": err.Error()})
	}
	first := !d.replica.complete
	if !changed && !first {
		return
	}
	d.replica.complete = true
	revision := d.view.Settings().Tree.Revision()
	if revision != oldRevision {
		d.Log.Write(event.SettingsApplied, event.Fields{"revision": revision})
	}
	d.router.Update(d.view.Inventory(), d.view.Settings().Tree, instanceKeys(result.Rows))
	if first {
		d.ready.Store(true)
		d.Log.Write(event.EntryReady, event.Fields{"revision": revision})
		// Reading all rows allocates several times their size, which the runtime would keep from the system.
		d.loop.After(memoryReleaseDelay, func() { go debug.FreeOSMemory() })
	}
	d.scheduleHeartbeats()
}

// receiveHeartbeat stores a peer's heartbeat and pulls the rows that the peer has and this entry lacks.
func (d *Daemon) receiveHeartbeat(heartbeat peer.Heartbeat) {
	d.view.Heartbeats().Store(heartbeat)
	newest := d.view.Cache().NewestVersion()
	if heartbeat.AppliedVersion <= newest && d.replica.complete {
		d.adoptCheckTime(heartbeat)
		return
	}
	if heartbeat.Address == "" {
		return
	}
	d.replica.aheadPeers = slices.DeleteFunc(d.replica.aheadPeers, func(other peer.Heartbeat) bool { return other.Address == heartbeat.Address })
	d.replica.aheadPeers = append(d.replica.aheadPeers, heartbeat)
	d.pullRows()
}

// adoptCheckTime adopts the check time of a peer of the same data centre whose replica is not newer than this one: the
// peer's read of the table then also confirms this replica.
func (d *Daemon) adoptCheckTime(heartbeat peer.Heartbeat) {
	checkedAt := time.Now().Add(-time.Duration(heartbeat.CheckedMillis) * time.Millisecond)
	if heartbeat.DataCentre == d.Config.DataCentre && heartbeat.CheckedMillis > 0 && checkedAt.After(d.replica.checkedAt) {
		d.replica.checkedAt = checkedAt
		d.replicaCheckedAt.Store(&checkedAt)
	}
}

// replicaCurrent reports whether the replica is known to hold all settings in force; it may be called from any goroutine.
func (d *Daemon) replicaCurrent() bool {
	checkedAt := d.replicaCheckedAt.Load()
	return checkedAt != nil && time.Since(*checkedAt) < maxReplicaAge
}

// pullRows pulls the missing rows from a peer that is ahead, unless another pull is running.
func (d *Daemon) pullRows() {
	if d.replica.pulling {
		return
	}
	ahead, ok := d.takeAheadPeer()
	if ok {
		d.pullRowsFrom(ahead.Address)
	}
}

// takeAheadPeer removes and returns the heartbeat with the newest rows, the last to arrive of several; it returns false
// if no peer has rows that this entry lacks.
func (d *Daemon) takeAheadPeer() (peer.Heartbeat, bool) {
	newest := d.view.Cache().NewestVersion()
	peers := slices.DeleteFunc(d.replica.aheadPeers, func(heartbeat peer.Heartbeat) bool {
		return d.replica.complete && heartbeat.AppliedVersion <= newest
	})
	d.replica.aheadPeers = peers
	if len(peers) == 0 {
		return peer.Heartbeat{}, false
	}
	best := 0
	for i, heartbeat := range peers {
		if heartbeat.AppliedVersion >= peers[best].AppliedVersion {
			best = i
		}
	}
	ahead := peers[best]
	d.replica.aheadPeers = slices.Delete(peers, best, best+1)
	return ahead, true
}

func (d *Daemon) pullRowsFrom(address string) {
	d.replica.pulling = true
	after := d.view.Cache().Through()
	control.Call(d.loop, replicaReadTimeout,
		func(ctx context.Context) (platform.ScanResult, error) {
			return readPages(ctx, peerTimeout, after, func(ctx context.Context, after uint64) (platform.ScanResult, error) {
				response, err := d.node.FetchRows(ctx, address, peer.RowsRequest{After: after})
				if err == nil && !response.Complete {
					err = fault.New(fault.NotReady, "peer %s has no settings yet", address)
				}
				return response.Result, err
			})
		},
		func(result platform.ScanResult, err error) {
			d.replica.pulling = false
			if err == nil {
				d.applyRows(after, result)
			}
			// After a failure, such as the rejection by a peer that serves too many others, this tries the other peers
			// that are ahead. If there are none, the next heartbeat of one starts another pull.
			d.pullRows()
		})
}

// pullFromConfiguredPeer pulls the rows from the configured peers, round-robin, since the platform may be unavailable
// when the entry starts.
func (d *Daemon) pullFromConfiguredPeer() {
	if d.replica.pulling || len(d.Config.Peers) == 0 {
		return
	}
	address := d.Config.Peers[d.replica.configuredPulls%len(d.Config.Peers)]
	d.replica.configuredPulls++
	d.pullRowsFrom(address)
}

// serveRows serves a peer's request for rows. The result is empty and not complete if the control loop does not respond
// within peerTimeout.
func (d *Daemon) serveRows(request peer.RowsRequest) peer.RowsResult {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var result peer.RowsResult
	_ = d.readView(ctx, func(view *fleet.View) {
		result.Complete = d.replica.complete
		result.Result = view.Cache().Since(request.After, maxPeerRows)
	})
	return result
}

func (d *Daemon) fetchInstanceList() {
	for _, dataCentre := range d.Config.DataCentres {
		after := d.view.InstanceList().Through(dataCentre)
		control.Call(d.loop, time.Duration(d.Config.Platform.Timeout),
			func(ctx context.Context) (platform.ListResult, error) {
				return d.Client.List(ctx, platform.ListRequest{DataCentre: dataCentre, After: after})
			},
			func(result platform.ListResult, err error) {
				if err == nil {
					d.view.InstanceList().Apply(dataCentre, result)
				}
			})
	}
}
