package claim

import (
	"encoding/json"

	"samphirekeel.example/keel/fault"
)

// Prefix is the key prefix of claim rows.
const Prefix = "claim/"

// State is the state of a claim.
type State string

// The states of a claim; a request that did not run leaves no row.
const (
	// Claimed requests are being sent, or were when their holder stopped or lost its lease.
	Claimed State = "claimed"
	// Done requests ran, and the row has their response.
	Done State = "done"
	// OutcomeUnknown requests were sent, and whether they ran can't be determined.
	OutcomeUnknown State = "lost"
)

// Header is one header field of a response.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Response is the recorded response of a request.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyOmitted reports that headers and body were larger than the service's limit and were not recorded.
	BodyOmitted bool `json:"dropped,omitempty"`
}

// Size returns the size of headers and body in bytes.
func (r Response) Size() int {
	size := len(r.Body)
	for _, header := range r.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// limitSize returns the response without headers and body if they are larger than limit bytes.
func (r Response) limitSize(limit int) Response {
	if r.Size() <= limit {
		return r
	}
	return Response{Status: r.Status, BodyOmitted: true}
}

// Record is the row of one claim.
type Record struct {
	// Holder is the incarnation of the entry that claimed the key and sends the request.
	Holder string `json:"holder"`
	State  State  `json:"state"`
	// Digest is a hash of the request, by which another request under the same key is recognised and rejected.
	Digest   uint64    `json:"digest"`
	Response *Response `json:"answer,omitempty"`
	// UnixMillis is the time of the claim by the holder's clock, in milliseconds since 1970.
	UnixMillis int64 `json:"unix_ms"`
}

// Key returns the row key of the claim for a service, "partner/service", and a caller's idempotency key.
func Key(service, idempotencyKey string) string { return Prefix + service + "/" + idempotencyKey }

func decodeRecord(value json.RawMessage) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	if err != nil {
		return record, fault.Wrap(fault.Internal, err, "decode claim row")
	}
	return record, nil
}
