package repair

import (
	"time"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
)

// maxCleanPassAge is the longest time for which decisions are skipped while neither the rows nor the instance list
// change.
const maxCleanPassAge = 10 * time.Second

// cleanPass records the state in which a decision found nothing to do; the zero value means no such decision.
type cleanPass struct {
	newestRow   uint64
	listChanges uint64
	at          time.Time
}

func newCleanPass(view *fleet.View) cleanPass {
	return cleanPass{newestRow: view.Cache().NewestVersion(), listChanges: view.InstanceList().Changes(), at: time.Now()}
}

// upToDate reports whether nothing that a decision depends on has changed since the pass, so that none is needed.
func (p cleanPass) upToDate(view *fleet.View) bool {
	same := p.newestRow == view.Cache().NewestVersion() && p.listChanges == view.InstanceList().Changes()
	return same && time.Since(p.at) < maxCleanPassAge
}

// allInService reports whether no instance is leaving, drained or failed.
func (s *Snapshot) allInService() bool {
	for _, p := range s.Pools {
		for _, m := range p.Members {
			if m.Value.State != instance.InService {
				return false
			}
		}
	}
	return true
}
