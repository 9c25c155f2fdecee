package claim

import (
	"encoding/json"

	"samphirekeel.example/keel/fault"
)

// Prefix is the prefix of the keys of claim rows.
const Prefix = "claim/"

// State is the state of a claim.
type State string

// The states of a claim; a request that did not run leaves no row.
const (
	// Claimed requests are being sent, or were when their holder went.
	Claimed State = "claimed"
	// Done requests ran and their answer is recorded.
	Done State = "done"
	// Lost requests were sent and their outcome can't be known.
	Lost State = "lost"
)

// Header is one header field of an answer.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Response is the recorded answer of a request.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Dropped reports that headers and body were larger than the service's limit and were not kept.
	Dropped bool `json:"dropped,omitempty"`
}

// Size returns the number of bytes of the headers and the body.
func (a Response) Size() int {
	size := len(a.Body)
	for _, header := range a.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// limit returns the answer as it is recorded: without headers and body if they are larger than limit bytes.
func (a Response) limit(limit int) Response {
	if a.Size() <= limit {
		return a
	}
	return Response{Status: a.Status, Dropped: true}
}

// Record is the row of one claim.
type Record struct {
	// Holder is the incarnation of the entry that sends the request.
	Holder string `json:"holder"`
	State  State  `json:"state"`
	// Digest identifies the request, so that another request under the same key is refused.
	Digest   uint64    `json:"digest"`
	Response *Response `json:"answer,omitempty"`
	// UnixMillis is the time of the claim by its holder's clock.
	UnixMillis int64 `json:"unix_ms"`
}

// Key returns the key of the claim's row.
func Key(service, idempotencyKey string) string { return Prefix + service + "/" + idempotencyKey }

func decodeRecord(value json.RawMessage) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	if err != nil {
		return record, fault.Wrap(fault.Internal, err, "claim row")
	}
	return record, nil
}
