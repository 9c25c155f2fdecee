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
)

// maxMessageBytes is the maximum size of one message in bytes.
const maxMessageBytes = 8 << 20

// codec is jsonrpc2's length-prefixed codec with a limit on the length. It copies the parameters of requests as they are,
// whereas jsonrpc2 validates them several times and, when it receives them, decodes them into maps and encodes these
// again. A codec belongs to one connection; jsonrpc2 calls onSend and then WriteObject, and ReadObject and then onReceive,
// for one message at a time in each direction.
type codec struct {
	jsonrpc2.VarintObjectCodec

	// sent is the request that is being sent, nil for a response.
	sent *jsonrpc2.Request
	// received holds the parameters of the request that is being received, nil for a response.
	received json.RawMessage
}

// envelope is a message without its parameters.
type envelope struct {
	Version string       `json:"jsonrpc"`
	ID      *jsonrpc2.ID `json:"id,omitempty"`
	Method  string       `json:"method"`
}

// onSend records the message that is written next.
func (c *codec) onSend(request *jsonrpc2.Request, _ *jsonrpc2.Response) { c.sent = request }

// onReceive sets the parameters of the request that was read.
func (c *codec) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	if response == nil && request != nil && c.received != nil {
		params := c.received
		request.Params = &params
	}
}

// WriteObject writes one message.
func (c *codec) WriteObject(stream io.Writer, obj any) error {
	if c.sent == nil || c.sent.Params == nil {
		return c.VarintObjectCodec.WriteObject(stream, obj)
	}
	message, err := json.Marshal(envelope{Version: "2.0", ID: &c.sent.ID, Method: c.sent.Method})
	if err != nil {
		return err
	}
	message = append(message[:len(message)-1], `,"params":`...)
	end := []byte("}")
	length := binary.AppendUvarint(nil, uint64(len(message)+len(*c.sent.Params)+len(end)))
	for _, part := range [][]byte{length, message, *c.sent.Params, end} {
		_, err = stream.Write(part)
		if err != nil {
			return err
		}
	}
	return nil
}

// ReadObject reads one message and fails if it is larger than maxMessageBytes.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	c.received = nil
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	body, err := readBytes(stream, length)
	if err != nil {
		return err
	}
	var request struct {
		envelope
		Params json.RawMessage `json:"params"`
	}
	err = json.Unmarshal(body, &request)
	if err != nil || request.Method == "" || request.Params == nil {
		return json.Unmarshal(body, v)
	}
	c.received = request.Params
	body, err = json.Marshal(request.envelope)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

// readBytes reads the bytes of one message. It allocates memory only as bytes arrive, so that a false length takes none.
func readBytes(stream *bufio.Reader, length uint64) ([]byte, error) {
	if length > maxMessageBytes {
		return nil, fault.New(fault.TooLarge, "peer message too large: %d bytes", length)
	}
	var body bytes.Buffer
	_, err := io.CopyN(&body, stream, int64(length))
	return body.Bytes(), err
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
