package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
)

const (
	eventIDMACBytes = 16
	maxEventIDBytes = 1024
	// eventIDDomain separates these MACs from other uses of the secret.
	eventIDDomain = "sequoiaroad event id 1"
)

// eventIDs creates and verifies the ids of events, `<token>:<offset>`. The MAC in the
// token binds request, target and epoch to the client account and the request body.
type eventIDs struct {
	secret      []byte
	accountID   string
	fingerprint [sha256.Size]byte

	// token is cached between events; it belongs to tokenPosition.
	tokenPosition dispatch.StreamPosition
	token         string
}

func (e *eventIDs) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, e.secret)
	for _, part := range [][]byte{[]byte(eventIDDomain), []byte(e.accountID), e.fingerprint[:], payload} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)[:eventIDMACBytes]
}

// appendID appends the id of the event with which the caller has received
// position.Offset tokens.
func (e *eventIDs) appendID(id []byte, position dispatch.StreamPosition) []byte {
	offset := position.Offset
	position.Offset = 0
	if e.token == "" || position != e.tokenPosition {
		var payload []byte
		for _, part := range []string{position.EngineRequestID, position.TargetID, position.Epoch} {
			payload = binary.AppendUvarint(payload, uint64(len(part)))
			payload = append(payload, part...)
		}
		e.tokenPosition = position
		e.token = base64.RawURLEncoding.EncodeToString(append(e.mac(payload), payload...))
	}
	id = append(append(id, e.token...), ':')
	return strconv.AppendInt(id, int64(offset), 10)
}

// parse returns the position in an id. It returns false if the id was not created for this
// account and body.
func (e *eventIDs) parse(id string) (dispatch.StreamPosition, bool) {
	var p dispatch.StreamPosition
	token, offsetText, ok := strings.Cut(id, ":")
	offset, err := strconv.Atoi(offsetText)
	if !ok || err != nil || offset < 0 || len(id) > maxEventIDBytes {
		return p, false
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(data) < eventIDMACBytes {
		return p, false
	}
	payload := data[eventIDMACBytes:]
	if !hmac.Equal(data[:eventIDMACBytes], e.mac(payload)) {
		return p, false
	}
	for _, field := range []*string{&p.EngineRequestID, &p.TargetID, &p.Epoch} {
		length, n := binary.Uvarint(payload)
		if n <= 0 || uint64(len(payload)-n) < length {
			return p, false
		}
		*field = string(payload[n : n+int(length)])
		payload = payload[n+int(length):]
	}
	p.Offset = offset
	return p, true
}
