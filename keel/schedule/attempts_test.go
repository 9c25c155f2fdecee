package schedule

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
)

// lastLine returns the fields of the last line with the name, nil if there is none.
func lastLine(t *testing.T, log []byte, name string) map[string]any {
	t.Helper()
	var last map[string]any
	for line := range bytes.Lines(log) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields["name"] == name {
			last = fields
		}
	}
	return last
}

// Guards against a failed job whose log doesn't tell with which limit and configuration its failures were compared.
func TestLogTellsInputsOfFailure(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		var log bytes.Buffer
		b.log = event.New(&log, true)
		b.addInstance("m1")
		b.startEpochWith(1, newConfig(7, "p"))
		time.Sleep(500 * time.Millisecond)
		b.fleet.SetBehaviour("m1", emulator.Behaviour{Fails: true})
		b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
		time.Sleep(40 * time.Second)
		var lines []byte
		b.onLoop(func() { lines = bytes.Clone(log.Bytes()) })
		ready := lastLine(t, lines, "leader_ready")
		assert.Equal(t, ready["config"], 7.0)
		assert.Equal(t, ready["unrouted"], 0.0)
		failed := lastLine(t, lines, "task_failed")
		assert.Equal(t, failed["failures"], 3.0)
		assert.Equal(t, failed["limit"], 3.0)
		assert.Equal(t, failed["config"], 7.0)
		assert.Equal(t, failed["earlier_epoch"], false)
		exhausted := lastLine(t, lines, "attempts_exhausted")
		assert.Equal(t, exhausted["task"], firstJob+".0.0.0")
		assert.Equal(t, exhausted["limit"], 3.0)
		assert.Equal(t, exhausted["earlier_epochs"], 0.0)
	})
}
