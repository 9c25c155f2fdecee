package relay

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"samphirekeel.example/keel/fault"
)

// The compact form of a message is that of protobuf: fields that are zero are left out, and unknown ones are skipped.

// The fields of Batch.
const (
	batchReplyTo protowire.Number = iota + 1
	batchOrder
	batchSpec
)

// The fields of Order.
const (
	orderID protowire.Number = iota + 1
	orderKind
	orderWorker
	orderAddress
	orderToken
	orderExpiresMillis
	orderTimeoutMillis
	orderTask
	orderRun
	orderSpec
	orderCheckpoint
	orderTicket
	orderPercent
	orderLeaseEndMillis
	orderAcknowledged
	orderWaitMillis
	orderEndsSuffice
)

// resultsResult is the field of Results.
const resultsResult protowire.Number = 1

// The fields of Result.
const (
	resultID protowire.Number = iota + 1
	resultFailure
	resultClockMicros
	resultRefusal
	resultRunning
	resultPartial
	resultEnded
	resultMoreEnds
	resultStarted
)

// The fields of Failure.
const (
	failureKind protowire.Number = iota + 1
	failureOutcome
	failureText
)

// The fields of Run.
const (
	runTask protowire.Number = iota + 1
	runNumber
	runCheckpoint
	runPercent
	runLoad
)

// The fields of End.
const (
	endNumber protowire.Number = iota + 1
	endTask
	endRun
	endKind
	endCheckpoint
)

// approximateBytes is the initial capacity for the encoding of an order or a result.
const approximateBytes = 128

// Encode returns the compact form of the batch.
func (b Batch) Encode() []byte {
	out := make([]byte, 0, (len(b.Orders)+1)*approximateBytes)
	out = appendText(out, batchReplyTo, b.ReplyTo)
	for _, spec := range b.Specs {
		out = protowire.AppendTag(out, batchSpec, protowire.BytesType)
		out = protowire.AppendString(out, spec)
	}
	var scratch []byte
	for i := range b.Orders {
		scratch = b.Orders[i].appendTo(scratch[:0])
		out = appendMessage(out, batchOrder, scratch)
	}
	return out
}

func (o *Order) appendTo(out []byte) []byte {
	out = appendFixed(out, orderID, o.ID)
	out = appendInt(out, orderKind, int64(o.Kind))
	out = appendText(out, orderWorker, o.Worker)
	out = appendText(out, orderAddress, o.Address)
	out = appendInt(out, orderToken, o.Token)
	out = appendInt(out, orderExpiresMillis, o.ExpiresMillis)
	out = appendInt(out, orderTimeoutMillis, o.TimeoutMillis)
	out = appendText(out, orderTask, o.Task)
	out = appendInt(out, orderRun, o.Run)
	out = appendInt(out, orderSpec, int64(o.Spec))
	out = appendText(out, orderCheckpoint, o.Checkpoint)
	out = appendText(out, orderTicket, o.Ticket)
	out = appendInt(out, orderPercent, int64(o.Percent))
	out = appendInt(out, orderLeaseEndMillis, o.LeaseEndMillis)
	out = appendInt(out, orderAcknowledged, o.Acknowledged)
	out = appendInt(out, orderWaitMillis, o.WaitMillis)
	return appendBool(out, orderEndsSuffice, o.EndsSuffice)
}

// DecodeBatch decodes the compact form of a batch.
func DecodeBatch(data []byte) (Batch, error) {
	batch := Batch{Compact: true}
	err := decodeFields(data, func(f field) error {
		switch f.number {
		case batchReplyTo:
			batch.ReplyTo = string(f.bytes)
		case batchSpec:
			batch.Specs = append(batch.Specs, string(f.bytes))
		case batchOrder:
			batch.Orders = append(batch.Orders, Order{})
			return batch.Orders[len(batch.Orders)-1].decode(f.bytes)
		}
		return nil
	})
	return batch, err
}

func (o *Order) decode(data []byte) error {
	return decodeFields(data, func(f field) error {
		o.setCall(f)
		o.setContent(f)
		return nil
	})
}

// setCall sets the fields that all orders have.
func (o *Order) setCall(f field) {
	switch f.number {
	case orderID:
		o.ID = f.value
	case orderKind:
		o.Kind = kind(f.int())
	case orderWorker:
		o.Worker = string(f.bytes)
	case orderAddress:
		o.Address = string(f.bytes)
	case orderToken:
		o.Token = f.int()
	case orderExpiresMillis:
		o.ExpiresMillis = f.int()
	case orderTimeoutMillis:
		o.TimeoutMillis = f.int()
	}
}

// setContent sets the fields that depend on the kind of the order.
func (o *Order) setContent(f field) {
	switch f.number {
	case orderTask:
		o.Task = string(f.bytes)
	case orderRun:
		o.Run = f.int()
	case orderSpec:
		o.Spec = int(f.int())
	case orderCheckpoint:
		o.Checkpoint = string(f.bytes)
	case orderTicket:
		o.Ticket = string(f.bytes)
	case orderPercent:
		o.Percent = int(f.int())
	case orderLeaseEndMillis:
		o.LeaseEndMillis = f.int()
	case orderAcknowledged:
		o.Acknowledged = f.int()
	case orderWaitMillis:
		o.WaitMillis = f.int()
	case orderEndsSuffice:
		o.EndsSuffice = f.value != 0
	}
}

// Encode returns the compact form of the results.
func (r Results) Encode() []byte {
	out := make([]byte, 0, (len(r.Results)+1)*approximateBytes)
	var scratch []byte
	for i := range r.Results {
		scratch = r.Results[i].appendTo(scratch[:0])
		out = appendMessage(out, resultsResult, scratch)
	}
	return out
}

func (r *Result) appendTo(out []byte) []byte {
	out = appendFixed(out, resultID, r.ID)
	if r.Failure != nil {
		var failure []byte
		failure = appendText(failure, failureKind, r.Failure.Kind)
		failure = appendText(failure, failureOutcome, r.Failure.Outcome)
		failure = appendText(failure, failureText, r.Failure.Text)
		out = appendMessage(out, resultFailure, failure)
	}
	out = appendInt(out, resultClockMicros, r.ClockMicros)
	out = appendText(out, resultRefusal, r.Refusal)
	out = appendBool(out, resultPartial, r.Partial)
	out = appendBool(out, resultMoreEnds, r.MoreEnds)
	out = appendInt(out, resultStarted, r.Started)
	var scratch []byte
	for i := range r.Running {
		scratch = r.Running[i].appendTo(scratch[:0])
		out = appendMessage(out, resultRunning, scratch)
	}
	for i := range r.Ended {
		scratch = r.Ended[i].appendTo(scratch[:0])
		out = appendMessage(out, resultEnded, scratch)
	}
	return out
}

func (r *Run) appendTo(out []byte) []byte {
	out = appendText(out, runTask, r.Task)
	out = appendInt(out, runNumber, r.Run)
	out = appendText(out, runCheckpoint, r.Checkpoint)
	out = appendFixed(out, runPercent, math.Float64bits(r.Percent))
	return appendFixed(out, runLoad, math.Float64bits(r.Load))
}

func (e *End) appendTo(out []byte) []byte {
	out = appendInt(out, endNumber, e.Number)
	out = appendText(out, endTask, e.Task)
	out = appendInt(out, endRun, e.Run)
	out = appendText(out, endKind, e.Kind)
	return appendText(out, endCheckpoint, e.Checkpoint)
}

// DecodeResults decodes the compact form of results.
func DecodeResults(data []byte) (Results, error) {
	results := Results{Compact: true}
	err := decodeFields(data, func(f field) error {
		if f.number != resultsResult {
			return nil
		}
		results.Results = append(results.Results, Result{})
		return results.Results[len(results.Results)-1].decode(f.bytes)
	})
	return results, err
}

func (r *Result) decode(data []byte) error {
	return decodeFields(data, func(f field) error {
		switch f.number {
		case resultID:
			r.ID = f.value
		case resultFailure:
			r.Failure = &Failure{}
			return r.Failure.decode(f.bytes)
		case resultClockMicros:
			r.ClockMicros = f.int()
		case resultRefusal:
			r.Refusal = string(f.bytes)
		case resultPartial:
			r.Partial = f.value != 0
		case resultMoreEnds:
			r.MoreEnds = f.value != 0
		case resultStarted:
			r.Started = f.int()
		case resultRunning:
			r.Running = append(r.Running, Run{})
			return r.Running[len(r.Running)-1].decode(f.bytes)
		case resultEnded:
			r.Ended = append(r.Ended, End{})
			return r.Ended[len(r.Ended)-1].decode(f.bytes)
		}
		return nil
	})
}

func (failure *Failure) decode(data []byte) error {
	return decodeFields(data, func(f field) error {
		switch f.number {
		case failureKind:
			failure.Kind = string(f.bytes)
		case failureOutcome:
			failure.Outcome = string(f.bytes)
		case failureText:
			failure.Text = string(f.bytes)
		}
		return nil
	})
}

func (r *Run) decode(data []byte) error {
	return decodeFields(data, func(f field) error {
		switch f.number {
		case runTask:
			r.Task = string(f.bytes)
		case runNumber:
			r.Run = f.int()
		case runCheckpoint:
			r.Checkpoint = string(f.bytes)
		case runPercent:
			r.Percent = math.Float64frombits(f.value)
		case runLoad:
			r.Load = math.Float64frombits(f.value)
		}
		return nil
	})
}

func (e *End) decode(data []byte) error {
	return decodeFields(data, func(f field) error {
		switch f.number {
		case endNumber:
			e.Number = f.int()
		case endTask:
			e.Task = string(f.bytes)
		case endRun:
			e.Run = f.int()
		case endKind:
			e.Kind = string(f.bytes)
		case endCheckpoint:
			e.Checkpoint = string(f.bytes)
		}
		return nil
	})
}

// field is one field of a message; value is set for a number, and bytes for a text or a message.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

func (f field) int() int64 { return protowire.DecodeZigZag(f.value) }

// decodeFields calls decode with each field of a message; it fails with kind BadRequest if the message is malformed.
func decodeFields(data []byte, decode func(field) error) error {
	for len(data) > 0 {
		f, n := nextField(data)
		if n < 0 {
			return fault.Wrap(fault.BadRequest, protowire.ParseError(n), "decode relay message")
		}
		data = data[n:]
		err := decode(f)
		if err != nil {
			return err
		}
	}
	return nil
}

// nextField returns the first field and its length, which is negative if the field is malformed.
func nextField(data []byte) (field, int) {
	number, wireType, tagLength := protowire.ConsumeTag(data)
	if tagLength < 0 {
		return field{}, tagLength
	}
	f := field{number: number}
	data = data[tagLength:]
	var n int
	switch wireType {
	case protowire.VarintType:
		f.value, n = protowire.ConsumeVarint(data)
	case protowire.Fixed64Type:
		f.value, n = protowire.ConsumeFixed64(data)
	case protowire.BytesType:
		f.bytes, n = protowire.ConsumeBytes(data)
	default:
		n = protowire.ConsumeFieldValue(number, wireType, data)
	}
	if n < 0 {
		return field{}, n
	}
	return f, tagLength + n
}

func appendInt(out []byte, number protowire.Number, value int64) []byte {
	if value == 0 {
		return out
	}
	out = protowire.AppendTag(out, number, protowire.VarintType)
	return protowire.AppendVarint(out, protowire.EncodeZigZag(value))
}

func appendBool(out []byte, number protowire.Number, value bool) []byte {
	if !value {
		return out
	}
	return appendInt(out, number, 1)
}

func appendFixed(out []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return out
	}
	out = protowire.AppendTag(out, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(out, value)
}

func appendText(out []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return out
	}
	out = protowire.AppendTag(out, number, protowire.BytesType)
	return protowire.AppendString(out, text)
}

func appendMessage(out []byte, number protowire.Number, message []byte) []byte {
	out = protowire.AppendTag(out, number, protowire.BytesType)
	return protowire.AppendBytes(out, message)
}
