package route

import "sync/atomic"

const (
	// unitsPerRetry is the number of units of the budget that one retry costs.
	unitsPerRetry = 1000
	// maxSavedRetries is the capacity of the budget in retries.
	maxSavedRetries = 10
)

// retryBudget limits the retries of a service to a share of its requests: a token bucket that requests refill.
type retryBudget struct {
	// spent is the number of units that the bucket lacks to be full; the zero value is a full bucket.
	spent atomic.Int64
}

// addRequest refills the budget by the share of one request: ratio retries.
func (b *retryBudget) addRequest(ratio float64) {
	b.refill(int64(ratio * unitsPerRetry))
}

func (b *retryBudget) refill(amount int64) {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-amount)) {
			return
		}
	}
}

// withdraw takes one retry from the budget; it returns false if none is left or retries are off.
func (b *retryBudget) withdraw(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	for {
		spent := b.spent.Load()
		if spent+unitsPerRetry > maxSavedRetries*unitsPerRetry {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unitsPerRetry) {
			return true
		}
	}
}
