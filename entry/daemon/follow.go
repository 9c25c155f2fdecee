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
	// rowsLimit is the number of rows handed to a peer in one answer.
	rowsLimit = 500
	// copyTimeout bounds the reading of all pages of the control rows.
	copyTimeout = 30 * time.Second
	// pageAttempts bounds how often one page is asked for.
	pageAttempts = 3
	// readerTurn is the time for which one entry of a data centre reads the table for the others.
	readerTurn = 10 * time.Second
	// readerPatience is how long each further entry waits for the word of those whose turn is before its own.
	readerPatience = time.Second
)

// follow is how far the entry's copy of the control rows is; it belongs to the control loop.
type follow struct {
	// complete reports that the copy was whole at least once.
	complete bool
	// checked is when the copy was last known to hold all that the table held.
	checked            time.Time
	reading, readAgain bool
	pulling            bool
	// ahead is the newest beat of a peer that has rows that this entry lacks.
	ahead peer.Heartbeat
	// asked counts the configured peers that were asked before the copy was complete.
	asked int
}

// followTable reads the table if it is this entry's turn in its data centre, or if those before it are silent.
func (d *Daemon) followTable() {
	if !d.follow.complete {
		d.askConfigured()
	}
	rank := d.readerRank(time.Now())
	if time.Since(d.follow.checked) >= time.Duration(rank)*readerPatience {
		d.fetchRows()
	}
}

// readerRank returns how many entries of the data centre come before this one; turns go round.
func (d *Daemon) readerRank(now time.Time) int {
	var names []string
	for _, member := range d.session.Registered() {
		if member.DataCentre == d.Config.DataCentre {
			names = append(names, member.Incarnation)
		}
	}
	at := slices.Index(names, d.session.Self.Incarnation)
	if at < 0 {
		return 0
	}
	first := int(now.UnixNano()/int64(readerTurn)) % len(names)
	return (at - first + len(names)) % len(names)
}

// fetchRows reads the control rows that are new in the table, once more if it is called while that is under way.
func (d *Daemon) fetchRows() {
	if d.follow.reading {
		d.follow.readAgain = true
		return
	}
	d.follow.reading = true
	sent := time.Now()
	after := d.view.Cache().Through()
	timeout := time.Duration(d.Config.Platform.Timeout)
	control.Call(d.loop, copyTimeout,
		func(ctx context.Context) (platform.ScanResult, error) {
			return readPages(ctx, timeout, after, func(ctx context.Context, after uint64) (platform.ScanResult, error) {
				return d.Client.Scan(ctx, platform.ScanRequest{Prefix: fleet.Prefix, After: after})
			})
		},
		func(result platform.ScanResult, err error) {
			d.follow.reading = false
			if err == nil {
				d.follow.checked = sent
				d.apply(after, result)
			}
			if d.follow.readAgain {
				d.follow.readAgain = false
				d.fetchRows()
			}
		})
}

// readPages joins the pages of a scan, so that nothing is applied before all of it is there:
// a page alone isn't the state of any moment.
func readPages(
	ctx context.Context, timeout time.Duration, after uint64,
	read func(context.Context, uint64) (platform.ScanResult, error),
) (platform.ScanResult, error) {
	var whole platform.ScanResult
	attempts := 0
	for {
		pageCtx, cancel := context.WithTimeout(ctx, timeout)
		page, err := read(pageCtx, after)
		cancel()
		attempts++
		if err != nil && (attempts == pageAttempts || len(whole.Rows) == 0) {
			return whole, err
		}
		if err != nil {
			continue
		}
		attempts = 0
		whole.Rows = append(whole.Rows, page.Rows...)
		whole.Through = page.Through
		if !page.More {
			return whole, nil
		}
		after = page.Through
	}
}

// apply takes in all rows that the table or a peer has after a version, and publishes what they change.
func (d *Daemon) apply(after uint64, result platform.ScanResult) {
	before := d.view.Settings().Tree.Revision()
	changed, err := d.view.Apply(after, result)
	first := !d.follow.complete
	if err != nil || !changed && !first {
		return
	}
	d.follow.complete = true
	revision := d.view.Settings().Tree.Revision()
	if revision != before {
		d.Log.Write(event.SettingsApplied, event.Fields{"revision": revision})
	}
	d.router.Update(d.view.Inventory(), d.view.Settings().Tree, instanceKeys(result.Rows))
	if first {
		d.ready.Store(true)
		d.Log.Write(event.EntryReady, event.Fields{"revision": revision})
		// Reading all rows leaves several times their size behind, which the runtime would keep.
		d.loop.After(settleTime, func() { go debug.FreeOSMemory() })
	}
	d.announce()
}

// hear takes in a peer's heartbeat, and pulls the rows that the peer has and this entry lacks.
func (d *Daemon) hear(beat peer.Heartbeat) {
	d.view.Heartbeats().Store(beat)
	newest := d.view.Cache().NewestVersion()
	if beat.AppliedVersion <= newest && d.follow.complete {
		d.confirm(beat)
		return
	}
	if beat.AppliedVersion >= d.follow.ahead.AppliedVersion {
		d.follow.ahead = beat
	}
	d.pull()
}

// confirm takes over from a peer of the same data centre when its copy, which isn't newer, was last checked.
func (d *Daemon) confirm(beat peer.Heartbeat) {
	checked := time.Now().Add(-time.Duration(beat.CheckedMillis) * time.Millisecond)
	if beat.DataCentre == d.Config.DataCentre && beat.CheckedMillis > 0 && checked.After(d.follow.checked) {
		d.follow.checked = checked
	}
}

// pull asks the peer that is ahead for what this entry lacks, one peer at a time.
func (d *Daemon) pull() {
	ahead := d.follow.ahead
	if d.follow.pulling || ahead.Address == "" || ahead.AppliedVersion <= d.view.Cache().NewestVersion() && d.follow.complete {
		return
	}
	d.pullFrom(ahead.Address)
}

func (d *Daemon) pullFrom(address string) {
	d.follow.pulling = true
	after := d.view.Cache().Through()
	control.Call(d.loop, copyTimeout,
		func(ctx context.Context) (platform.ScanResult, error) {
			return readPages(ctx, peerTimeout, after, func(ctx context.Context, after uint64) (platform.ScanResult, error) {
				answer, err := d.node.FetchRows(ctx, address, peer.RowsRequest{After: after})
				if err == nil && !answer.Complete {
					err = fault.New(fault.NotReady, "peer %s has no settings yet", address)
				}
				return answer.Result, err
			})
		},
		func(result platform.ScanResult, err error) {
			d.follow.pulling = false
			if err != nil {
				// The next beat of a peer that is ahead starts another pull.
				d.follow.ahead = peer.Heartbeat{}
				return
			}
			d.apply(after, result)
			d.pull()
		})
}

// askConfigured asks the configured peers in turn for the rows, as the platform may not answer.
func (d *Daemon) askConfigured() {
	if d.follow.pulling || len(d.Config.Peers) == 0 {
		return
	}
	address := d.Config.Peers[d.follow.asked%len(d.Config.Peers)]
	d.follow.asked++
	d.pullFrom(address)
}

// rows answers a peer's request for rows.
func (d *Daemon) rows(request peer.RowsRequest) peer.RowsResult {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var result peer.RowsResult
	_ = d.read(ctx, func(view *fleet.View) {
		result.Complete = d.follow.complete
		result.Result = view.Cache().Since(request.After, rowsLimit)
	})
	return result
}

func (d *Daemon) fetchList() {
	for _, dataCentre := range d.Config.DataCentres {
		after := d.view.List().Through(dataCentre)
		control.Call(d.loop, time.Duration(d.Config.Platform.Timeout),
			func(ctx context.Context) (platform.ListResult, error) {
				return d.Client.List(ctx, platform.ListRequest{DataCentre: dataCentre, After: after})
			},
			func(result platform.ListResult, err error) {
				if err == nil {
					d.view.List().Apply(dataCentre, result)
				}
			})
	}
}
