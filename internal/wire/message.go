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

// Ack is the empty reply to a request.
type Ack struct{}

// WireType implements Message.
func (*Ack) WireType() Type { return TypeAck }

// Decode decodes the body into message, which must be of the type of the request.
func (r Request) Decode(message Message) error {
	if r.Type != message.WireType() {
		return fmt.Errorf("message type is %d, want %d", r.Type, message.WireType())
	}
	return errors.Wrapf(msgpack.Unmarshal(r.Body, message), "decode message type %d", r.Type)
}

// Encode encodes the body of a message, with integers in as few bytes as they need.
// Structs are encoded as maps with their field names: the decoder rejects a struct encoded
// as an array if its number of fields differs, so hosts of two versions could not
// communicate.
func Encode(message Message) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buffer bytes.Buffer
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrapf(err, "encode message type %d", message.WireType())
	}
	if buffer.Len() > MaxBodyBytes {
		return nil, errors.Wrapf(ErrFrameLength, "encode message type %d: %d bytes", message.WireType(), buffer.Len())
	}
	return buffer.Bytes(), nil
}
