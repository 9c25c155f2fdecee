package daemon

import (
	"slices"
	"time"

	"samphirekeel.example/keel/peer"
)

const (
	// crossBeats is the number of entries of other data centres that one round of heartbeats goes to.
	crossBeats = 6
	// announceGap is the least time between two rounds of heartbeats that announce news.
	announceGap = 200 * time.Millisecond
	// heardFor is how long an entry that isn't registered counts as a peer after its last heartbeat.
	heardFor = 5 * time.Second
)

// announcement is the state of the rounds of heartbeats; it belongs to the control loop.
type announcement struct {
	// turn is the place in the list of entries of other data centres at which the next round begins.
	turn    int
	last    time.Time
	pending bool
}

// announce sends heartbeats soon, so that peers learn of news before the next regular round.
func (d *Daemon) announce() {
	if d.announcement.pending {
		return
	}
	wait := announceGap - time.Since(d.announcement.last)
	if wait <= 0 {
		d.announcement.last = time.Now()
		d.sendBeats()
		return
	}
	d.announcement.pending = true
	d.loop.After(wait, func() {
		d.announcement.pending = false
		d.announcement.last = time.Now()
		d.sendBeats()
	})
}

// sendBeats sends a heartbeat to the entries of the data centre, and to some of the others in turn.
func (d *Daemon) sendBeats() {
	beat := d.makeBeat()
	d.beat.Store(&beat)
	d.view.Heartbeats().Store(beat)
	near, far := d.peers()
	known := make(map[string]bool)
	for _, address := range append(slices.Clone(near), far...) {
		known[address] = true
	}
	d.shareClaims()
	d.node.Broadcast(d.loop.Context(), d.beatTargets(near, far), known)
}

func (d *Daemon) makeBeat() peer.Heartbeat {
	beat := peer.Heartbeat{
		Incarnation:      d.session.Self.Incarnation,
		DataCentre:       d.Config.DataCentre,
		Address:          d.Config.Listen.Peers,
		AppliedVersion:   d.view.Cache().NewestVersion(),
		SettingsRevision: d.view.Settings().Tree.Revision(),
		InFlight:         d.router.InFlight(),
		Leaving:          d.router.LeavingKeys(),
	}
	if d.follow.complete && !d.follow.checked.IsZero() {
		beat.CheckedMillis = time.Since(d.follow.checked).Milliseconds() + 1
	}
	return beat
}

// beatTargets returns the addresses that the next round goes to.
func (d *Daemon) beatTargets(near, far []string) []string {
	if len(far) <= crossBeats {
		return append(near, far...)
	}
	for range crossBeats {
		near = append(near, far[d.announcement.turn%len(far)])
		d.announcement.turn++
	}
	return near
}

// peers returns the addresses of the entries of the own data centre and of the others, in order.
// Entries that can't reach the platform are not registered for long; they are known by their own word.
func (d *Daemon) peers() (near, far []string) {
	dataCentres := make(map[string]string)
	for _, address := range d.Config.Peers {
		dataCentres[address] = ""
	}
	for _, member := range d.session.Registered() {
		dataCentres[member.Peer] = member.DataCentre
	}
	for beat, age := range d.view.Heartbeats().All {
		if age < heardFor && beat.Address != "" {
			dataCentres[beat.Address] = beat.DataCentre
		}
	}
	delete(dataCentres, d.Config.Listen.Peers)
	for address, dataCentre := range dataCentres {
		if dataCentre == d.Config.DataCentre {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}
