package emulator

import (
	"time"

	"samphirekeel.example/keel/table"
)

// HoldUp makes the next transaction that writes a row with the name get no response, and be carried out after the delay.
func (s *Store) HoldUp(name string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUp[name] = delay
}

// takeHoldUp returns the delay of a transaction that is held up, and whether it is.
func (s *Store) takeHoldUp(txn table.Txn) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range txn.Writes {
		delay, ok := s.heldUp[w.Name]
		if ok {
			delete(s.heldUp, w.Name)
			return delay, true
		}
	}
	return 0, false
}
