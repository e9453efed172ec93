package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// bufferBytes is the size of the buffer until a head does not fit.
	bufferBytes = 4 << 10
)

var errHeadTooLong = errors.New("response head exceeds the maximum of 64 KiB")

// Reader reads the responses of a connection. It accepts no head in which net/http reads a
// line as something else than it is.
type Reader struct {
	source io.Reader
	buffer *bufio.Reader
}

// NewReader returns a reader of a connection.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: bufio.NewReaderSize(source, bufferBytes)}
}

// Buffered returns the number of bytes that were received and not read yet.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// ReadResponse reads the head of the next response, which may be an interim one. The body of
// the response before must have been read to its end. Errors match ErrMalformed or are those
// of the connection.
func (r *Reader) ReadResponse(method string) (*http.Response, error) {
	if err := r.awaitHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "read response")
	}
	if err := checkStatus(response); err != nil {
		return nil, err
	}
	return response, nil
}

// awaitHead checks the lines of a head as they arrive, until the buffer holds all of it.
func (r *Reader) awaitHead() error {
	for start := 0; ; {
		line, err := r.peekLine(start)
		if err != nil {
			return err
		}
		text := bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		switch {
		case start == 0:
			err = checkStatusLine(text)
		case len(text) == 0:
			return nil
		default:
			err = checkField(text)
		}
		if err != nil {
			return err
		}
		start += len(line)
	}
}

// peekLine returns the line that begins at an offset of the buffer, with its end.
func (r *Reader) peekLine(start int) ([]byte, error) {
	for scanned := start; ; {
		received, _ := r.buffer.Peek(r.buffer.Buffered()) // Peek does not fail on buffered bytes.
		if length := bytes.IndexByte(received[scanned:], '\n'); length >= 0 {
			return received[start : scanned+length+1], nil
		}
		scanned = len(received)
		if err := r.receiveMore(received); err != nil {
			return nil, err
		}
	}
}

// receiveMore waits for bytes that follow those in the buffer, which it enlarges if it is full.
func (r *Reader) receiveMore(received []byte) error {
	if len(received) >= maxHeadBytes {
		return ErrMalformed.Wrap(errHeadTooLong, "read response")
	}
	if len(received) == r.buffer.Size() {
		r.buffer = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(slices.Clone(received)), r.source), maxHeadBytes)
	}
	_, err := r.buffer.Peek(len(received) + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
