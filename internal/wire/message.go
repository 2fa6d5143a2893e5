package wire

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// RemoteError is an error that the handler at the peer returned.
type RemoteError struct {
	Message string `msgpack:"m"`
}

func (e *RemoteError) Error() string { return "peer: " + e.Message }

// WireType implements Message.
func (*RemoteError) WireType() Type { return TypeError }

// Ack is the empty answer to a request.
type Ack struct{}

// WireType implements Message.
func (*Ack) WireType() Type { return TypeAck }

// Decode unpacks the body of a request.
func (r Request) Decode(message Message) error {
	if r.Type != message.WireType() {
		return fmt.Errorf("message type is %d, want %d", r.Type, message.WireType())
	}
	return errors.Wrapf(msgpack.Unmarshal(r.Body, message), "decode message type %d", r.Type)
}

// encodeBody encodes structs as arrays: field names made up more than half of the
// bytes of a probe and its reply. Decoding takes arrays and maps.
func encodeBody(message Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	msgpack.PutEncoder(encoder)
	if err != nil {
		return nil, errors.Wrapf(err, "encode message type %d", message.WireType())
	}
	body := buffer.Bytes()
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrFrameLength, "encode message type %d: %d bytes", message.WireType(), len(body))
	}
	return body, nil
}
