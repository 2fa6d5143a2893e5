package target

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream, so that a faulty engine can't exhaust the
// host's memory.
const maxEventBytes = 256 << 10

var errEventTooLong = errors.Errorf("an event is longer than %d bytes", maxEventBytes)

// sseReader reads the data of server-sent events. Fields other than data are not needed
// and are skipped.
type sseReader struct {
	buffer *bufio.Reader
	// lineBytes and data are reused, so that reading a token allocates nothing.
	lineBytes []byte
	data      []byte
}

func newSSEReader(r io.Reader) *sseReader {
	return &sseReader{buffer: bufio.NewReaderSize(r, 4096)}
}

// next returns the data of the next event, valid until the next call. It returns
// io.ErrUnexpectedEOF if the stream ended within an event, and drops the partial event.
func (s *sseReader) next() ([]byte, error) {
	s.data = s.data[:0]
	hasData, partial := false, false
	for {
		line, err := s.line()
		if err == io.EOF && (partial || len(line) > 0) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return s.data, nil
			}
			partial = false
			continue
		}
		partial = true
		value, ok := dataField(line)
		if !ok {
			continue
		}
		if hasData {
			s.data = append(s.data, '\n')
		}
		s.data = append(s.data, value...)
		hasData = true
		if len(s.data) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

func dataField(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// line returns a line without its terminator, LF or CRLF. The line is valid until the
// next call.
func (s *sseReader) line() ([]byte, error) {
	s.lineBytes = s.lineBytes[:0]
	for {
		part, err := s.buffer.ReadSlice('\n')
		s.lineBytes = append(s.lineBytes, part...)
		if len(s.lineBytes) > maxEventBytes {
			return nil, errEventTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return s.lineBytes, err
		}
		return bytes.TrimSuffix(s.lineBytes[:len(s.lineBytes)-1], []byte("\r")), nil
	}
}
