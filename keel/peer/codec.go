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

// codec is jsonrpc2's length-prefixed codec with a limit on the length.
type codec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject reads one message and fails if it is larger than maxMessageBytes.
// It allocates memory only as bytes arrive, so that a false length prefix takes none.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return fault.New(fault.TooLarge, "peer message too large: %d bytes", length)
	}
	var body bytes.Buffer
	_, err = io.CopyN(&body, stream, int64(length))
	if err != nil {
		return err
	}
	return json.Unmarshal(body.Bytes(), v)
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
