// Package parser parses HTTP/1.1 responses as they arrive, and refuses all that break the grammar of RFC 9112: other
// readers may take another length or other fields from them. Errors are of type *Error.
package parser

import "bytes"

const (
	// MaxHeadBytes limits the head of a response, in bytes.
	MaxHeadBytes = 32 << 10
	// MaxFields limits the number of header fields of a response.
	MaxFields = 128
	// typicalFields is the number of header fields for which space is allocated at once.
	typicalFields = 12
)

const lineEnd = "\r\n"

// HeadParser parses the head of one response. The zero value is ready to use.
type HeadParser struct {
	head Head
	// line holds the beginning of a line whose end has not arrived yet.
	line []byte
	// size is the number of bytes parsed. It is at most MaxHeadBytes.
	size int
	// inFields is set once the status line has been parsed.
	inFields bool
	done     bool
}

// Done reports whether the head is complete.
func (p *HeadParser) Done() bool { return p.done }

// Head returns the head, which must be complete.
func (p *HeadParser) Head() *Head { return &p.head }

// Parse parses the next input and returns the number of bytes that belong to the head. After an error, the parser must not be
// used any more.
func (p *HeadParser) Parse(data []byte) (int, error) {
	n := 0
	for n < len(data) && !p.done {
		piece, ended := cutLine(data[n:])
		if p.size += len(piece); p.size > MaxHeadBytes {
			return n, &Error{Operation: "parse head", Kind: KindTooLarge, Detail: "head"}
		}
		n += len(piece)
		if err := p.parsePiece(piece, ended); err != nil {
			return n, err
		}
	}
	return n, nil
}

// cutLine returns the beginning of data up to the first line feed, and whether there is one.
func cutLine(data []byte) (piece []byte, ended bool) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		return data, false
	}
	return data[:i+1], true
}

// parsePiece parses a line, or the next piece of one.
func (p *HeadParser) parsePiece(piece []byte, ended bool) error {
	line := piece
	if len(p.line) > 0 || !ended {
		p.line = append(p.line, piece...)
		line = p.line
	}
	if !ended {
		return p.checkStart(line)
	}
	err := p.parseLine(line)
	p.line = p.line[:0]
	return err
}

// checkStart checks the beginning of an incomplete line, so that the rest of bytes which begin no response is not waited for.
func (p *HeadParser) checkStart(line []byte) error {
	n := min(len(line), len(ProtocolPrefix))
	if !p.inFields && string(line[:n]) != ProtocolPrefix[:n] {
		return malformedHead("no status line")
	}
	if i := bytes.IndexByte(line, '\r'); i >= 0 && i < len(line)-1 {
		return malformedHead("line end")
	}
	return nil
}

// parseLine parses a line with its end, which must be a carriage return and a line feed.
func (p *HeadParser) parseLine(line []byte) error {
	text, found := bytes.CutSuffix(line, []byte(lineEnd))
	if !found {
		return malformedHead("line end")
	}
	switch {
	case !p.inFields:
		p.inFields = true
		p.head.Fields = make([]Field, 0, typicalFields)
		return p.head.setStatusLine(string(text))
	case len(text) == 0:
		p.done = true
		return p.head.setBody()
	}
	fieldLine := string(text)
	if _, found := AfterStatusLine(text); found || containsStatusLine(fieldLine) {
		return malformedHead("status line within a response head")
	}
	f, ok := parseField(fieldLine)
	if !ok {
		return malformedHead("line that is no field")
	}
	return p.head.addField(f)
}
