package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
)

func TestLoopRunsTimersAndWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		loop := control.New(2)
		ticks := 0
		result := 0
		finished := make(chan error, 1)
		go func() {
			finished <- loop.Run(ctx, func() {
				loop.Every(time.Second, func() { ticks++ })
				control.Call(loop, time.Second,
					func(context.Context) (int, error) { return 42, nil },
					func(value int, _ error) { result = value })
			})
		}()
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, ticks, 3)
		assert.Equal(t, result, 42)
		cancel()
		assert.NilError(t, <-finished)
	})
}
