package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// Guards against rows that an entry of another version can't read: the encoding must be that of encoding/json.
func TestEncodeProgressMatchesEncode(t *testing.T) {
	var full work.BitSet
	for i := range 100 {
		full = full.With(i)
	}
	tests := []work.Progress{
		{},
		{Started: true},
		{RemoteDataCentres: []string{"a", "<\"b\">"}},
		{Started: true, RemoteDataCentres: []string{"a"}, Done: map[int][]work.BitSet{0: {full, nil, work.BitSet(nil).With(9)}}},
		{Started: true, Done: map[int][]work.BitSet{17: {full}}},
		{Started: true, Done: map[int][]work.BitSet{17: {}}},
		{Started: true, Done: map[int][]work.BitSet{2: {full}, 10: {full}}},
		{Done: map[int][]work.BitSet{0: {full}}, Failures: []work.FailedRun{{Step: 1, Run: 3, Instance: "i1"}}},
		{Started: true, Checkpoints: map[string]string{"0.0.1": "c"}},
	}
	for _, progress := range tests {
		assert.Equal(t, string(ledger.EncodeProgress(&progress)), string(ledger.Encode(ledger.JobRecord{Progress: &progress})))
	}
}
