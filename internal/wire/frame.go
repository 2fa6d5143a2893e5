package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"

	"github.com/pkg/errors"
)

// The layout of a frame. The length field counts the bytes that follow it.
const (
	protocolVersion = 1
	lengthBytes     = 4
	versionBytes    = 1
	typeBytes       = 2
	callIDBytes     = 8
	headerBytes     = versionBytes + typeBytes + callIDBytes
	macBytes        = 16
	minFrameLength  = headerBytes + macBytes
	// MaxFrameBytes bounds a whole frame, the length field included.
	MaxFrameBytes = 8 << 20
	// MaxBodyBytes bounds the body of a message.
	MaxBodyBytes = MaxFrameBytes - lengthBytes - minFrameLength

	lastType = TypeStateReply
)

// Errors of the frame decoder. Each of them closes the connection.
var (
	ErrFrameLength  = errors.New("frame length is out of bounds")
	ErrFrameVersion = errors.New("frame has an unsupported version")
	ErrFrameType    = errors.New("frame has an unknown message type")
	ErrFrameMAC     = errors.New("frame has a wrong MAC")
)

// frame is one message. callID assigns a reply to its call.
type frame struct {
	messageType Type
	callID      uint64
	body        []byte
}

// frameMAC computes the MACs of one direction of a connection. The frame counter
// makes a repeated, lost or reordered frame fail verification.
type frameMAC struct {
	mac     hash.Hash
	counter uint64
	sum     [sha256.Size]byte
}

func newFrameMAC(key []byte) *frameMAC {
	return &frameMAC{mac: hmac.New(sha256.New, key)}
}

// next returns the MAC over the counter and content (header and body), and
// advances the counter.
func (m *frameMAC) next(content []byte) []byte {
	var counter [8]byte
	binary.BigEndian.PutUint64(counter[:], m.counter)
	m.counter++
	m.mac.Reset()
	m.mac.Write(counter[:])
	m.mac.Write(content)
	return m.mac.Sum(m.sum[:0])[:macBytes]
}

// appendFrame appends the encoded frame to buffer.
func appendFrame(buffer []byte, f frame, mac *frameMAC) ([]byte, error) {
	if len(f.body) > MaxBodyBytes {
		return buffer, errors.Wrapf(ErrFrameLength, "body of %d bytes", len(f.body))
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(minFrameLength+len(f.body)))
	start := len(buffer)
	buffer = append(buffer, protocolVersion)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(f.messageType))
	buffer = binary.BigEndian.AppendUint64(buffer, f.callID)
	buffer = append(buffer, f.body...)
	return append(buffer, mac.next(buffer[start:])...), nil
}

// readFrame reads and verifies one frame. The length, version and type are checked
// before memory for the body is allocated.
func readFrame(r io.Reader, mac *frameMAC) (frame, error) {
	var head [lengthBytes + headerBytes]byte
	if _, err := io.ReadFull(r, head[:lengthBytes]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < minFrameLength || length > MaxFrameBytes-lengthBytes {
		return frame{}, errors.Wrapf(ErrFrameLength, "%d bytes", length)
	}
	if _, err := io.ReadFull(r, head[lengthBytes:]); err != nil {
		return frame{}, unexpectedEOF(err)
	}
	header := head[lengthBytes:]
	if header[0] != protocolVersion {
		return frame{}, errors.Wrapf(ErrFrameVersion, "version %d", header[0])
	}
	messageType := Type(binary.BigEndian.Uint16(header[versionBytes:]))
	if messageType < TypeError || messageType > lastType {
		return frame{}, errors.Wrapf(ErrFrameType, "type %d", messageType)
	}
	content := make([]byte, length)
	copy(content, header)
	if _, err := io.ReadFull(r, content[headerBytes:]); err != nil {
		return frame{}, unexpectedEOF(err)
	}
	end := len(content) - macBytes
	if !hmac.Equal(mac.next(content[:end]), content[end:]) {
		return frame{}, ErrFrameMAC
	}
	return frame{
		messageType: messageType,
		callID:      binary.BigEndian.Uint64(header[versionBytes+typeBytes:]),
		body:        content[headerBytes:end:end],
	}, nil
}

// unexpectedEOF distinguishes a truncated frame from the regular end of a stream.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
