package schedule

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/table"
)

const (
	// backGrace is how long an instance may take beyond its maintenance until it no longer counts as down for it.
	backGrace = 4 * time.Second
	// urgency is how much longer the rest of a wave is taken to last than it must, when it is weighed against the time left.
	urgency = 1.8
	// waveMargin is kept of the time of a wave.
	waveMargin = 2 * time.Second
)

// waveState is what is known of waves.
type waveState struct {
	waves map[int64]*wave
	notes map[int64]ledger.WaveProgress
	asked []provider.Wave
}

func (w *waveState) init() {
	w.waves = make(map[int64]*wave)
	w.notes = make(map[int64]ledger.WaveProgress)
}

func (w *waveState) takeNotes(notes map[int64]ledger.WaveProgress) { w.notes = notes }

// wave is a wave of maintenance under way.
type wave struct {
	provider.Wave
	note ledger.WaveProgress
	// seen is when the wave was first seen, by the scheduler's clock.
	seen time.Duration
	// down holds the instances that are down for the wave, and until when they count as such.
	down map[string]time.Duration
	// ordering holds the instances whose order is under way.
	ordering map[string]bool
	// vacating holds the instances that get no tasks until their maintenance begins.
	vacating map[string]bool
	told     bool
	finished bool
}

// SetWaves takes in the waves that the operator asks for; they are begun once the notes on them are read.
func (s *Scheduler) SetWaves(all []provider.Wave) {
	s.waves.asked = all
	if s.ready {
		s.takeWaves()
	}
}

func (s *Scheduler) takeWaves() {
	for _, asked := range s.waves.asked {
		if s.waves.waves[asked.Number] != nil {
			continue
		}
		w := &wave{
			Wave: asked, note: s.waves.notes[asked.Number], seen: s.Now(), down: make(map[string]time.Duration),
			ordering: make(map[string]bool), vacating: make(map[string]bool),
		}
		if w.note.FirstSeenMillis == 0 {
			w.note.FirstSeenMillis = s.Wall().Milliseconds()
		}
		w.seen -= max(0, s.Wall()-time.Duration(w.note.FirstSeenMillis)*time.Millisecond)
		s.waves.waves[asked.Number] = w
		s.Log.Write(event.WaveSeen, event.Fields{"wave": w.Number, "instances": len(w.Instances), "seconds": w.DeadlineSeconds, "at_once": w.MaxConcurrent})
	}
}

// due reports whether an instance's maintenance is asked for and hasn't begun.
func (s *Scheduler) due(instance string) bool {
	for _, w := range s.waves.waves {
		if !w.finished && slices.Contains(w.Instances, instance) && !slices.Contains(w.note.Started, instance) {
			return true
		}
	}
	return false
}

// keepWaves brings waves forward.
func (s *Scheduler) keepWaves(now time.Duration) {
	if s.Estate == nil || s.fleet.listed == 0 {
		return
	}
	for _, w := range s.sortedWaves() {
		if !w.finished {
			s.keepWave(w, now)
		}
	}
}

func (s *Scheduler) sortedWaves() []*wave {
	all := make([]*wave, 0, len(s.waves.waves))
	for _, w := range s.waves.waves {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *wave) int { return int(a.Number - b.Number) })
	return all
}

func (s *Scheduler) keepWave(w *wave, now time.Duration) {
	if w.note.Completed {
		w.finished = true
		return
	}
	if !w.told {
		w.told = true
		s.tellWave(w, false)
		s.noteWave(w)
	}
	s.countDown(w, now)
	if s.Epoch > 1 && now < s.began+listLag {
		// What the last leader ordered may not be in the list yet.
		return
	}
	todo := w.todo(s)
	if len(todo) == 0 && len(w.ordering) == 0 {
		s.completeWave(w, now)
		return
	}
	late := s.late(w, len(todo), now)
	atOnce := s.vacateAtOnce(w, todo, now)
	if s.fleet.scarce && !late && atOnce <= leastVacated {
		// Instances are wanted for a peak, and the wave has time.
		return
	}
	for _, id := range todo {
		if len(w.down)+len(w.ordering) >= w.MaxConcurrent {
			break
		}
		if s.fitForMaintenance(id, late, now) {
			s.maintain(w, id, now)
		}
	}
	s.cordon(w, todo, atOnce, late)
}

// timeLeft returns the time in which the wave should be done.
func (w *wave) timeLeft(now time.Duration) time.Duration {
	return time.Duration(w.DeadlineSeconds*float64(time.Second)) - (now - w.seen) - waveMargin
}

// vacateAtOnce returns the number of workers that lasting tasks are moved off at the same time, so that those of the
// rest of the wave are done in the time that is left.
func (s *Scheduler) vacateAtOnce(w *wave, todo []string, now time.Duration) int {
	lasting := 0
	for _, id := range todo {
		h := s.byInstance[id]
		if h != nil && h.lasting() {
			lasting++
		}
	}
	left := max(time.Second, w.timeLeft(now))
	return max(leastVacated, int(math.Ceil(float64(lasting)*urgency*vacatedIn.Seconds()/left.Seconds())))
}

// late reports whether the rest of a wave could take all of the time that is left.
func (s *Scheduler) late(w *wave, todo int, now time.Duration) bool {
	each := s.Bounds.MaintenanceTime.Seconds() + 1
	needed := math.Ceil(float64(todo)/float64(max(1, w.MaxConcurrent))) * each * urgency
	return needed >= w.timeLeft(now).Seconds()
}

// countDown brings up to date which instances are down for the wave, also by orders of earlier leaders.
func (s *Scheduler) countDown(w *wave, now time.Duration) {
	for id, until := range w.down {
		i := s.fleet.instances[id]
		if now > until || i.State == provider.Up && now > until-backGrace && s.byInstance[id] != nil {
			delete(w.down, id)
		}
	}
	for _, id := range w.Instances {
		_, known := w.down[id]
		if !known && s.fleet.instances[id].State == provider.Maintenance {
			w.down[id] = now + s.Bounds.MaintenanceTime + backGrace
		}
	}
}

// todo returns the instances whose maintenance hasn't begun, those that need least preparation first.
func (w *wave) todo(s *Scheduler) []string {
	var ids []string
	for _, id := range w.Instances {
		_, listed := s.fleet.instances[id]
		if listed && !slices.Contains(w.note.Started, id) && !w.ordering[id] {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		ra, rb := s.runsOn(a), s.runsOn(b)
		if ra != rb {
			return ra - rb
		}
		return strings.Compare(a, b)
	})
	return ids
}

// runsOn weighs what runs on an instance; lasting tasks need longest to leave.
func (s *Scheduler) runsOn(instance string) int {
	h := s.byInstance[instance]
	if h == nil {
		return 0
	}
	n := 0
	for _, r := range h.runs {
		n++
		if r.task.step.spec.LongRunning {
			n += lastingWeight
		}
	}
	return n
}

// lastingWeight is how many short tasks a lasting one weighs when instances are chosen for maintenance.
const lastingWeight = 20

func (s *Scheduler) fitForMaintenance(id string, late bool, now time.Duration) bool {
	part := maintainPart
	if late {
		part = 1
	}
	i := s.fleet.instances[id]
	h := s.byInstance[id]
	_, coming := s.fleet.coming[id]
	if i.State != provider.Up || coming || !s.mayOrder(id, part, now) {
		return false
	}
	return s.vacant(i, h) && (h == nil || !h.moving)
}

// vacant reports whether nothing can be running on an instance. Of a worker that this leader hasn't heard, or that
// doesn't answer, that isn't known.
func (s *Scheduler) vacant(i provider.Instance, h *host) bool {
	if h == nil {
		return s.Config.Pools[i.Pool].Spare || i.Worker == ""
	}
	return h.fenced && h.silent == 0 && len(h.runs)+len(h.strangers) == 0
}

// maintain tells an instance to begin its maintenance.
func (s *Scheduler) maintain(w *wave, id string, now time.Duration) {
	s.noteOrder(id, now)
	w.ordering[id] = true
	h := s.byInstance[id]
	if h != nil {
		h.moving = true
	}
	fence := s.fence()
	call(s, estateTimeout, func(ctx context.Context) (provider.Refusal, error) {
		if !s.LeaseValid() {
			return provider.Accepted, fault.New(fault.NotReady, "the lease must be renewed before an order").WithOutcome(fault.NotRun)
		}
		return s.Estate.Maintain(ctx, id, w.Number, fence)
	}, func(refusal provider.Refusal, err error) {
		delete(w.ordering, id)
		s.orderAnswered(id, "maintenance", refusal, err)
		if err != nil && fault.As(err).Outcome() != fault.NotRun || err == nil && refusal == provider.Accepted {
			// An order without an answer may have been carried out, so that its place stays taken.
			w.down[id] = s.Now() + s.Bounds.MaintenanceTime + backGrace
		}
		if err != nil || refusal != provider.Accepted {
			if refusal == provider.OtherWave || refusal == provider.Unsuitable {
				s.begun(w, id)
			}
			return
		}
		s.Log.Write(event.InstanceMaintained, event.Fields{"instance": id, "wave": w.Number, "outcome": "accepted"})
		s.begun(w, id)
		s.bootEnded(id, h, "its instance is down for maintenance")
	})
}

func (s *Scheduler) begun(w *wave, id string) {
	w.note.Started = append(w.note.Started, id)
	s.noteWave(w)
}

// noteWave stores what has been done of a wave.
func (s *Scheduler) noteWave(w *wave) {
	note := w.note
	note.Started = slices.Clone(w.note.Started)
	s.waves.notes[w.Number] = note
	s.ledger.write(noteWrite(w.Number, note), nil)
}

func (s *Scheduler) completeWave(w *wave, now time.Duration) {
	w.finished = true
	w.note.Completed = true
	s.noteWave(w)
	s.tellWave(w, true)
	s.Log.Write(event.WaveCompleted, event.Fields{"wave": w.Number, "took_ms": (now - w.seen).Milliseconds()})
}

// tellWave writes for the operator how far a wave is, and tries again until that is stored.
func (s *Scheduler) tellWave(w *wave, completed bool) {
	write := s.Rows.WaveStatus(w.Number, completed)
	txn := table.Txn{Writes: []table.Write{write}}
	if !completed {
		// A first report that takes effect late must not replace the last one.
		txn.Conditions = []table.Condition{{Key: write.Key}}
	}
	call(s, callTimeout, func(ctx context.Context) (table.Result, error) {
		if !s.LeaseValid() {
			return table.Result{}, fault.New(fault.NotReady, "the lease must be renewed before a report").WithOutcome(fault.NotRun)
		}
		return s.Store.Commit(ctx, txn)
	}, func(_ table.Result, err error) {
		if err != nil && !fault.IsKind(err, fault.Conflict) && (completed || !w.finished) {
			s.after(statusRetry, func() { s.tellWave(w, completed) })
		}
	})
}

// statusRetry is the time after which a report for the operator is tried again.
const statusRetry = 300 * time.Millisecond
