package relay

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestCompactFormKeepsMessages compares what the compact form and JSON make of drawn messages.
func TestCompactFormKeepsMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := Batch{
			ReplyTo: rapid.String().Draw(t, "reply to"), Specs: rapid.SliceOf(rapid.String()).Draw(t, "specs"),
			Orders: rapid.SliceOfN(rapid.Make[Order](), 1, -1).Draw(t, "orders"),
		}
		gotBatch, err := DecodeBatch(batch.Encode())
		assert.NilError(t, err)
		assert.Equal(t, encodeJSON(t, gotBatch), encodeJSON(t, batch))
		results := Results{Results: rapid.SliceOfN(rapid.Make[Result](), 1, -1).Draw(t, "results")}
		gotResults, err := DecodeResults(results.Encode())
		assert.NilError(t, err)
		assert.Equal(t, encodeJSON(t, gotResults), encodeJSON(t, results))
	})
}

func encodeJSON(t *rapid.T, message any) string {
	text, err := json.Marshal(message)
	assert.NilError(t, err)
	return string(text)
}

// TestMalformedCompactMessagesFail decodes drawn bytes, which must neither panic nor take much memory.
func TestMalformedCompactMessagesFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		batch, err := DecodeBatch(data)
		assert.Assert(t, err != nil || len(batch.Orders) <= len(data))
		results, err := DecodeResults(data)
		assert.Assert(t, err != nil || len(results.Results) <= len(data))
	})
	_, err := DecodeResults([]byte{1<<3 | 2, 9, 0})
	assert.ErrorContains(t, err, "decode relay message")
}
