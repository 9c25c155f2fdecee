package platform_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
)

func write(key, value string) platform.Write {
	return platform.Write{Key: key, Value: json.RawMessage(value)}
}

func create(key, value string) platform.Txn {
	return platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{write(key, value)},
	}
}

func TestCommitResolvesLostResponse(t *testing.T) {
	fake := platformtest.New()
	client := fake.Client("worcester")
	fake.Set(platformtest.Switches{LoseCommitResponses: 1})
	result, err := client.Commit(t.Context(), create("a", `1`))
	assert.NilError(t, err)
	assert.Assert(t, result.Committed)
	assert.Equal(t, result.Version, uint64(1))
	_, err = client.Commit(t.Context(), create("a", `2`))
	assert.Assert(t, fault.IsKind(err, fault.Conflict))
}

func TestCommitReportsNotRunInOutage(t *testing.T) {
	fake := platformtest.New()
	fake.Set(platformtest.Switches{Outage: true})
	_, err := fake.Client("worcester").Commit(t.Context(), create("a", `1`))
	assert.Assert(t, fault.IsKind(err, fault.PlatformUnavailable))
	assert.Equal(t, fault.As(err).Outcome(), fault.NotRun)
	assert.Equal(t, fake.Table().Commits(), uint64(0))
}

func TestScanNeverSplitsATransaction(t *testing.T) {
	table := platformtest.NewTable()
	table.Commit(platform.Txn{Token: "1", Writes: []platform.Write{write("x/1", `1`), write("x/2", `1`)}})
	table.Commit(platform.Txn{Token: "2", Writes: []platform.Write{write("x/3", `1`)}})
	first := table.Scan(platform.ScanRequest{Prefix: "x/", Limit: 1})
	assert.Equal(t, len(first.Rows), 2)
	assert.Equal(t, first.Through, uint64(1))
	assert.Assert(t, first.More)
	second := table.Scan(platform.ScanRequest{Prefix: "x/", After: first.Through, Limit: 1})
	assert.Equal(t, len(second.Rows), 1)
	assert.Assert(t, !second.More)
}
