package duty_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
)

// member starts a session with one duty and a lease of 5 s on its own loop.
func member(ctx context.Context, client *platform.Client, name string) (*duty.Session, *control.Loop) {
	loop := control.New(8)
	session := &duty.Session{
		Client: client, Loop: loop, LeaseDuration: 5 * time.Second, RenewInterval: 2 * time.Second, PollInterval: time.Second,
		Self:           duty.Member{Incarnation: name + "-1", DataCentre: "worcester", Peer: name + ":7102"},
		DutyNames:      func() []string { return []string{"billing"} },
		NewIncarnation: func() string { return name + "-2" },
	}
	go func() { _ = loop.Run(ctx, session.Start) }()
	return session, loop
}

// hold returns the duty as the session has it.
func hold(ctx context.Context, session *duty.Session, loop *control.Loop) (held duty.Lease, ok bool) {
	done := make(chan struct{})
	loop.Post(ctx, func() {
		held, ok = session.Holds("billing")
		close(done)
	})
	<-done
	return held, ok
}

// A fenced lease: work is done under a duty, and a write that comes after the duty changed hands fails.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	table := platformtest.New()
	session, loop := member(ctx, table.Client("worcester"), "w1")
	held, ok := hold(ctx, session, loop)
	for !ok {
		time.Sleep(10 * time.Millisecond)
		held, ok = hold(ctx, session, loop)
	}
	bill := platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{held.Condition},
		Writes:     []platform.Write{{Key: "bill/1", Value: []byte(`"sent"`)}},
	}
	_, err := table.Client("worcester").Commit(ctx, bill)
	fmt.Println(held.Name, held.Epoch, err)
	// Output: billing 1 <nil>
}

func TestLateWriteOfPausedHolderFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.New()
		var paused atomic.Bool
		client := &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
			if paused.Load() {
				return fault.New(fault.PlatformUnavailable, "paused")
			}
			return table.Client("worcester").Call(ctx, method, in, out)
		}}
		first, firstLoop := member(t.Context(), client, "w1")
		time.Sleep(10 * time.Second)
		old, ok := hold(t.Context(), first, firstLoop)
		assert.Assert(t, ok)
		paused.Store(true)
		second, secondLoop := member(t.Context(), table.Client("worcester"), "w2")
		time.Sleep(10 * time.Second)
		_, ok = hold(t.Context(), first, firstLoop)
		assert.Assert(t, !ok)
		next, ok := hold(t.Context(), second, secondLoop)
		assert.Assert(t, ok)
		assert.Assert(t, next.Epoch > old.Epoch)
		late := platform.Txn{
			Token: platform.NewToken(), Conditions: []platform.Condition{old.Condition},
			Writes: []platform.Write{{Key: "bill/1", Value: []byte(`"sent"`)}},
		}
		_, err := table.Client("worcester").Commit(t.Context(), late)
		assert.Assert(t, fault.IsKind(err, fault.Conflict), "%v", err)
	})
}

func TestLostAnswerOfRenewalIsNoRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.New()
		var lose atomic.Bool
		client := &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
			err := table.Client("worcester").Call(ctx, method, in, out)
			if lose.Load() && method != platform.MethodScan {
				return fault.New(fault.PlatformUnavailable, "answer lost").WithOutcome(fault.Unknown)
			}
			return err
		}}
		session, loop := member(t.Context(), client, "w1")
		time.Sleep(10 * time.Second)
		before, _ := hold(t.Context(), session, loop)
		lose.Store(true)
		time.Sleep(20 * time.Second)
		lose.Store(false)
		time.Sleep(10 * time.Second)
		after, ok := hold(t.Context(), session, loop)
		assert.Assert(t, ok)
		assert.Equal(t, after.Epoch, before.Epoch)
	})
}
