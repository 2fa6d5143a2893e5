package wire

import (
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

func encodeBody(message Message) ([]byte, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(err, "encode message type %d", message.WireType())
	}
	if len(body) > MaxBodyBytes {
		return nil, errors.Wrapf(ErrFrameLength, "encode message type %d: %d bytes", message.WireType(), len(body))
	}
	return body, nil
}
