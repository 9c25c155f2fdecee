package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/memory"
)

const (
	// maxMessageBytes is the maximum size of one message in bytes.
	maxMessageBytes = 8 << 20
	// SocketQueueBytes bounds what the kernel should queue of the requests on a connection that a peer opened.
	SocketQueueBytes = 32 << 10
)

// codec is jsonrpc2's length-prefixed codec with a limit on the length. It copies the parameters of requests as they are,
// whereas jsonrpc2 validates them several times and, when it receives them, decodes them into maps and encodes these
// again. A codec belongs to one connection; jsonrpc2 calls onSend and then WriteObject, and ReadObject and then onReceive,
// for one message at a time in each direction.
type codec struct {
	jsonrpc2.VarintObjectCodec

	// sent is the request that is being sent, nil for a response, and sentResponse the response.
	sent         *jsonrpc2.Request
	sentResponse *jsonrpc2.Response
	// received holds the parameters of the request that is being received, nil for a response.
	received json.RawMessage
	// inbound holds the memory of requests that are received, nil if there is no limit.
	inbound *inbound
}

// Attachment holds the parameters of a request in another form than JSON; it is sent after the message. Only peers that
// are known to serve the method may be called with one, because others take it for further messages.
type Attachment []byte

// envelope is a message without its parameters.
type envelope struct {
	Version string       `json:"jsonrpc"`
	ID      *jsonrpc2.ID `json:"id,omitempty"`
	Method  string       `json:"method,omitempty"`
	// AttachedBytes is the length of the attachment that follows the message.
	AttachedBytes int `json:"attached_bytes,omitempty"`
}

// attachmentField is the name of the field of a request that holds its attachment.
const attachmentField = "attached_bytes"

// onSend records the message that is written next.
func (c *codec) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	c.sent, c.sentResponse = request, response
}

// onReceive sets the parameters of the request that was read.
func (c *codec) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil && request != nil && c.received != nil {
		params := c.received
		request.Params = &params
	}
}

// WriteObject writes one message.
func (c *codec) WriteObject(stream io.Writer, obj any) error {
	if c.sentResponse != nil && c.sentResponse.Error == nil && c.sentResponse.Result != nil {
		return writeMessage(stream, envelope{Version: "2.0", ID: &c.sentResponse.ID}, `,"result":`, *c.sentResponse.Result)
	}
	if c.sent == nil {
		return c.VarintObjectCodec.WriteObject(stream, obj)
	}
	for _, field := range c.sent.ExtraFields {
		attachment, ok := field.Value.(Attachment)
		if ok {
			return c.writeAttached(stream, attachment)
		}
	}
	if c.sent.Params == nil {
		return c.VarintObjectCodec.WriteObject(stream, obj)
	}
	return writeMessage(stream, envelope{Version: "2.0", ID: &c.sent.ID, Method: c.sent.Method}, `,"params":`, *c.sent.Params)
}

// writeMessage writes a message with the value as its last field.
func writeMessage(stream io.Writer, e envelope, name string, value json.RawMessage) error {
	message, err := json.Marshal(e)
	if err != nil {
		return err
	}
	message = append(message[:len(message)-1], name...)
	end := []byte("}")
	length := binary.AppendUvarint(nil, uint64(len(message)+len(value)+len(end)))
	return writeAll(stream, length, message, value, end)
}

// writeAttached writes the request that is being sent, followed by its attachment.
func (c *codec) writeAttached(stream io.Writer, attachment Attachment) error {
	message, err := json.Marshal(envelope{Version: "2.0", ID: &c.sent.ID, Method: c.sent.Method, AttachedBytes: len(attachment)})
	if err != nil {
		return err
	}
	return writeAll(stream, binary.AppendUvarint(nil, uint64(len(message))), message, attachment)
}

func writeAll(stream io.Writer, parts ...[]byte) error {
	for _, part := range parts {
		_, err := stream.Write(part)
		if err != nil {
			return err
		}
	}
	return nil
}

// ReadObject reads one message and fails if it is larger than maxMessageBytes, or if there is no memory for it.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	c.received = nil
	_, err := stream.Peek(1)
	if err != nil {
		return err
	}
	c.inbound.begin()
	err = c.readMessage(stream, v)
	c.inbound.read()
	return err
}

func (c *codec) readMessage(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	body, err := c.readBytes(stream, length)
	if err != nil {
		return err
	}
	err = c.inbound.grow(memory.JSONBytes(body))
	if err != nil {
		return err
	}
	if !bytes.Contains(body, []byte(`"method"`)) {
		return decodeMessage(body, v)
	}
	var request struct {
		envelope
		Params json.RawMessage `json:"params"`
	}
	err = json.Unmarshal(body, &request)
	if err != nil || request.Method == "" || request.Params == nil && request.AttachedBytes == 0 {
		return decodeMessage(body, v)
	}
	c.received = request.Params
	if request.AttachedBytes != 0 {
		c.received, err = c.readBytes(stream, uint64(request.AttachedBytes))
		if err != nil {
			return err
		}
		request.AttachedBytes = 0
	}
	body, err = json.Marshal(request.envelope)
	if err != nil {
		return err
	}
	return decodeMessage(body, v)
}

// decodeMessage decodes a message. It calls the message's own decoder at once, which validates the text too.
func decodeMessage(body []byte, v any) error {
	message, ok := v.(json.Unmarshaler)
	if ok {
		return message.UnmarshalJSON(body)
	}
	return json.Unmarshal(body, v)
}

// readBytes reads the bytes of one message or attachment. It takes memory only as bytes arrive, so that a false length takes none.
func (c *codec) readBytes(stream *bufio.Reader, length uint64) ([]byte, error) {
	if length > maxMessageBytes {
		return nil, fault.New(fault.TooLarge, "peer message too large: %d bytes", length)
	}
	var body []byte
	for len(body) < int(length) {
		larger := min(int(length), max(firstMessageBytes, 2*len(body)))
		err := c.inbound.grow(int64(larger))
		if err != nil {
			return nil, err
		}
		read := len(body)
		body = append(make([]byte, 0, larger), body...)[:larger]
		_, err = io.ReadFull(stream, body[read:])
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// timedConn applies a timeout to each read and each write.
type timedConn struct {
	net.Conn
	readTimeout  time.Duration
	writeTimeout time.Duration
}

// Read reads from the connection; it fails if no byte arrives within readTimeout.
func (c *timedConn) Read(data []byte) (int, error) {
	err := c.SetReadDeadline(time.Now().Add(c.readTimeout))
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}

// Write writes to the connection; it fails if the data is not written within writeTimeout.
func (c *timedConn) Write(data []byte) (int, error) {
	err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
