package caller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes    = 1 << 20
	eventBufferBytes = 4 << 10
)

var (
	errEventTooLong = errors.New("stream event exceeds the maximum of 1 MiB")
	errEventCut     = fmt.Errorf("stream ended inside an event: %w", io.ErrUnexpectedEOF)

	idField = []byte("id:")
)

// eventReader reads complete events of a text/event-stream.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the bytes of the next event, including the empty line that ends it, and
// the event's id, which is empty if it has none. At the end of a complete stream the
// error is io.EOF; any other error means that the stream was cut off.
func (r *eventReader) next() (event []byte, id string, err error) {
	for {
		line, err := r.reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
			return nil, "", errEventCut
		}
		if err != nil {
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && len(bytes.TrimSpace(event)) > 0 {
			return event, id, nil
		}
	}
}
