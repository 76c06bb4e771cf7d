package parser

import "math"

// chunkState is a state of ChunkDecoder, named after the input that it expects next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkSizeEnd
	chunkExtension
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	chunkTrailer
	chunkTrailerLine
	chunkTrailerLF
	chunkEnd
	chunkDone
)

const (
	// maxSizeDigits limits the hex digits of a chunk's size.
	maxSizeDigits = 15
	// maxSkippedBytes limits the total length of a body's chunk extensions and trailers, which are skipped.
	maxSkippedBytes = 16 << 10
)

// ChunkDecoder decodes one chunked body as it arrives, without buffering chunks. The zero value is ready to use.
type ChunkDecoder struct {
	state chunkState
	// remaining is the number of bytes left in the current chunk.
	remaining int64
	// digits is the number of digits read of the current chunk's size.
	digits       int
	skippedBytes int
	// trailer holds the beginning of a trailer whose line has not ended.
	trailer []byte
	// starts looks for the beginning of a response in the extensions and trailers. One there takes the place of the body's
	// missing end.
	starts StartFinder
}

// Done reports whether the body and its trailers are complete.
func (d *ChunkDecoder) Done() bool { return d.state == chunkDone }

// Decode passes the body's bytes to onBody and returns the number of input bytes consumed. An error of onBody is returned as
// it is.
func (d *ChunkDecoder) Decode(data []byte, onBody func([]byte) error) (int, error) {
	offset := 0
	for offset < len(data) && d.state != chunkDone {
		if d.state == chunkData {
			n := int(min(int64(len(data)-offset), d.remaining))
			if err := onBody(data[offset : offset+n]); err != nil {
				return offset, err
			}
			offset += n
			if d.remaining -= int64(n); d.remaining == 0 {
				d.state = chunkDataCR
			}
			continue
		}
		if err := d.stepFraming(data[offset]); err != nil {
			return offset, err
		}
		offset++
	}
	return offset, nil
}

// stepFraming consumes one byte outside the chunk data.
func (d *ChunkDecoder) stepFraming(c byte) error {
	switch d.state {
	case chunkSize:
		return d.stepSize(c)
	case chunkSizeEnd:
		return d.stepSizeEnd(c)
	case chunkExtension:
		return d.stepSkipped(c, chunkSizeLF)
	case chunkSizeLF:
		return d.expect(c, '\n', d.afterSize())
	case chunkDataCR:
		return d.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		d.digits = 0
		return d.expect(c, '\n', chunkSize)
	case chunkTrailer:
		d.state = chunkTrailerLine
		return d.stepTrailer(c, chunkEnd)
	case chunkTrailerLine:
		return d.stepTrailer(c, chunkTrailerLF)
	case chunkTrailerLF:
		return d.endTrailer(c)
	case chunkEnd:
		return d.expect(c, '\n', chunkDone)
	}
	return nil
}

// stepSizeEnd consumes a byte of the whitespace between a chunk's size and its extensions or the end of the line.
func (d *ChunkDecoder) stepSizeEnd(c byte) error {
	switch c {
	case ' ', '\t':
	case ';':
		d.state = chunkExtension
	case '\r':
		d.state = chunkSizeLF
		return nil
	default:
		return malformedChunk("bad size")
	}
	return d.skip(c)
}

// stepSkipped consumes a byte of an extension or a trailer. A carriage return leads to the next state.
func (d *ChunkDecoder) stepSkipped(c byte, next chunkState) error {
	switch {
	case c == '\r':
		d.state = next
	case isControl(c):
		return malformedChunk("control byte in extensions or trailers")
	}
	return d.skip(c)
}

// stepTrailer consumes a byte of a trailer. A carriage return leads to the next state.
func (d *ChunkDecoder) stepTrailer(c byte, next chunkState) error {
	if c != '\r' {
		d.trailer = append(d.trailer, c)
	}
	return d.stepSkipped(c, next)
}

// endTrailer consumes the line feed behind a trailer, which must be a field. Trailers are not passed on.
func (d *ChunkDecoder) endTrailer(c byte) error {
	if _, ok := parseField(string(d.trailer)); !ok {
		return malformedChunk("trailer that is no field")
	}
	d.trailer = d.trailer[:0]
	return d.expect(c, '\n', chunkTrailer)
}

// isControl reports whether a byte may not occur in an extension or a trailer. Tabs may.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

// skip counts and examines a byte of an extension or a trailer.
func (d *ChunkDecoder) skip(c byte) error {
	d.skippedBytes++
	d.starts.Scan([]byte{c})
	switch {
	case d.skippedBytes > maxSkippedBytes:
		return malformedChunk("extensions or trailers too long")
	case d.starts.Contained():
		return malformedChunk("response within extensions or trailers")
	}
	return nil
}

func (d *ChunkDecoder) expect(c, want byte, next chunkState) error {
	if c != want {
		return malformedChunk("line end expected")
	}
	d.state = next
	return nil
}

// afterSize returns the state after the line with a chunk's size. A size of zero ends the body.
func (d *ChunkDecoder) afterSize() chunkState {
	if d.remaining == 0 {
		return chunkTrailer
	}
	return chunkData
}

func (d *ChunkDecoder) stepSize(c byte) error {
	digit := hexDigit(c)
	switch {
	case digit >= 0:
		if d.digits == 0 {
			d.remaining = 0
		}
		d.digits++
		if d.digits > maxSizeDigits || d.remaining > math.MaxInt64>>4 {
			return malformedChunk("size too large")
		}
		d.remaining = d.remaining<<4 | int64(digit)
	case d.digits == 0:
		return malformedChunk("size expected")
	default:
		d.state = chunkSizeEnd
		return d.stepSizeEnd(c)
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, or -1 if the byte is none.
func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
