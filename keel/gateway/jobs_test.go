package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/platform"
)

// Guards against a job whose row no entry can read: its specification is nested as deeply as the body of a request may be, and
// the messages that carry the row are nested more deeply still.
func TestAcceptedWorkFitsIntoMessages(t *testing.T) {
	for _, depth := range []int{0, 1, maxWorkDepth, maxWorkDepth + 1, 9000, 9999} {
		body := `{"size":{"milli_cores":1,"memory_mb":1},"work":` + strings.Repeat("[", depth) + "1" + strings.Repeat("]", depth) + "}"
		var s Submission
		assert.NilError(t, json.Unmarshal([]byte(body), &s))
		err := s.check()
		if err != nil {
			assert.Assert(t, fault.IsKind(err, fault.BadRequest) && depth > maxWorkDepth, "depth %d: %v", depth, err)
			continue
		}
		value, err := json.Marshal(job.Record{ID: "p/s/k", Work: s.Work})
		assert.NilError(t, err)
		message, err := json.Marshal(map[string]any{"result": platform.ScanResult{Rows: []platform.Row{{Key: "k", Value: value}}}})
		assert.NilError(t, err, "depth %d", depth)
		var got any
		assert.NilError(t, json.Unmarshal(message, &got), "depth %d", depth)
	}
}

func TestSubmissionSizes(t *testing.T) {
	valid := platform.Size{MilliCores: 1, MemoryMB: 1}
	assert.NilError(t, (&Submission{Size: valid}).check())
	for _, size := range []platform.Size{
		{}, {MilliCores: -1, MemoryMB: 1}, {MilliCores: 1, MemoryMB: 1, Accelerators: -1}, {MilliCores: 1 << 62, MemoryMB: 1},
		{MilliCores: 1, MemoryMB: 1 << 62}, {MilliCores: 1, MemoryMB: 1, Accelerators: 1 << 62},
	} {
		assert.Assert(t, fault.IsKind((&Submission{Size: size}).check(), fault.BadRequest), "%v", size)
	}
}
