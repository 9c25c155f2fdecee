package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/platform/platformtest"
)

// A request with an idempotency key is claimed, runs, and its repeat gets the recorded answer.
// The claims and outcomes of many requests share paced transactions.
func Example() {
	client := platformtest.New().Client("worcester")
	claims := &claim.Service{
		Incarnation: "entry-1",
		LeaseValid:  func() bool { return true },
		Batcher: &claim.Batcher{
			Client:         client,
			CommitInterval: func() time.Duration { return 5 * time.Millisecond },
			Metrics:        claim.NewMetrics(prometheus.NewRegistry()),
		},
	}
	ctx := context.Background()
	request := claim.Request{Service: "quabbin/floor", Key: "teardown-17", Digest: 42}
	ticket, _, err := claims.Begin(ctx, request)
	fmt.Println("to be sent now:", ticket != nil, err)
	claims.Finish(ticket, claim.Response{Status: 200, Body: []byte("rig 4, bay 2")}, 1024)
	ticket, recorded, err := claims.Begin(ctx, request)
	fmt.Println("to be sent again:", ticket != nil, err)
	fmt.Println("recorded:", recorded.Status, string(recorded.Body))
	// Output:
	// to be sent now: true <nil>
	// to be sent again: false <nil>
	// recorded: 200 rig 4, bay 2
}
