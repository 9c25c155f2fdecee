package fault_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"samphirekeel.example/keel/fault"
)

func TestTableOfAnswers(t *testing.T) {
	var table strings.Builder
	for _, kind := range fault.Kinds() {
		a := kind.Properties()
		fmt.Fprintf(&table, "%-22s %d %-8s %-18s %d\n", a.Name, a.Status, a.Outcome, a.Retry, a.ExitCode)
	}
	golden.Assert(t, table.String(), "answers.golden")
}

func TestKindNamesAreUnique(t *testing.T) {
	for _, kind := range fault.Kinds() {
		found, ok := fault.KindByName(kind.String())
		assert.Assert(t, ok)
		assert.Equal(t, found, kind)
	}
}

func TestErrorKeepsKindThroughWrapping(t *testing.T) {
	cause := errors.New("connection reset")
	err := errors.Wrap(fault.Wrap(fault.EndpointFailed, cause, "endpoint %s", "e1"), "route")
	assert.Assert(t, fault.IsKind(err, fault.EndpointFailed))
	assert.Assert(t, errors.Is(err, cause))
	assert.Assert(t, !fault.IsKind(nil, fault.Internal))
}

func TestProblemRoundTrip(t *testing.T) {
	want := fault.New(fault.Overloaded, "queue of partner quabbin is full").WithRetryAfter(1500 * time.Millisecond)
	body, err := json.Marshal(want.Problem())
	assert.NilError(t, err)
	var problem fault.Problem
	assert.NilError(t, json.Unmarshal(body, &problem))
	got := fault.FromProblem(problem)
	assert.Equal(t, got.Kind(), fault.Overloaded)
	assert.Equal(t, got.Outcome(), fault.NotRun)
	assert.Equal(t, got.RetryAfter(), 1500*time.Millisecond)
	assert.Equal(t, want.RetryAfterHeader(), "2")
}
