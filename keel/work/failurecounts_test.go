package work

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFailureCountsSurviveEncoding compares drawn counts with what they are after they were encoded and decoded.
func TestFailureCountsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counts FailureCounts
		task := -1
		for range rapid.IntRange(0, 20).Draw(t, "tasks") {
			task += rapid.IntRange(1, 3000).Draw(t, "gap")
			counts = append(counts, FailureCount{Task: task, Runs: rapid.IntRange(1, 100).Draw(t, "runs"), Last: rapid.Int64Range(1, 1<<60).Draw(t, "last")})
		}
		text, err := counts.MarshalText()
		assert.NilError(t, err)
		var got FailureCounts
		assert.NilError(t, got.UnmarshalText(text))
		assert.DeepEqual(t, got, counts)
	})
}

// FuzzFailureCounts decodes any text, which must neither panic nor give counts of tasks that no job can have.
func FuzzFailureCounts(f *testing.F) {
	f.Add([]byte("AQIG"))
	f.Add([]byte(base64.RawStdEncoding.EncodeToString([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})))
	f.Add([]byte("AQ"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var counts FailureCounts
		err := counts.UnmarshalText(text)
		for i, c := range counts {
			assert.Assert(t, err != nil || c.Task >= 0 && (i == 0 || c.Task >= counts[i-1].Task))
		}
	})
}
