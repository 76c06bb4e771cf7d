package forwarder

import "math"

// chunkState is a place in a body that comes in chunks.
type chunkState int

const (
	chunkSize chunkState = iota
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
	// maxSizeDigits bounds the digits of a chunk's size.
	maxSizeDigits = 15
	// maxChunkExtras bounds the bytes of extensions and trailers.
	maxChunkExtras = 16 << 10
)

// chunkDecoder decodes a chunked body as it comes, without gathering whole chunks.
type chunkDecoder struct {
	state     chunkState
	remaining int64
	digits    int
	extras    int
}

func (d *chunkDecoder) done() bool { return d.state == chunkDone }

// decode hands the body's bytes to take and returns how much of the input it used.
func (d *chunkDecoder) decode(data []byte, take func([]byte) error) (int, error) {
	at := 0
	for at < len(data) && d.state != chunkDone {
		if d.state == chunkData {
			n := int(min(int64(len(data)-at), d.remaining))
			if err := take(data[at : at+n]); err != nil {
				return at, err
			}
			at += n
			if d.remaining -= int64(n); d.remaining == 0 {
				d.state = chunkDataCR
			}
			continue
		}
		if err := d.step(data[at]); err != nil {
			return at, err
		}
		at++
	}
	return at, nil
}

func malformedChunk(detail string) error {
	return &Error{Operation: "parse", Kind: KindMalformed, Detail: "chunk: " + detail}
}

// step takes one byte that is not part of the body.
func (d *chunkDecoder) step(c byte) error {
	switch d.state {
	case chunkSize:
		return d.stepSize(c)
	case chunkExtension:
		d.extras++
		if c == '\r' {
			d.state = chunkSizeLF
		}
	case chunkSizeLF:
		return d.expect(c, '\n', d.afterSize())
	case chunkDataCR:
		return d.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		d.digits = 0
		return d.expect(c, '\n', chunkSize)
	case chunkTrailer:
		d.extras++
		d.state = chunkTrailerLine
		if c == '\r' {
			d.state = chunkEnd
		}
	case chunkTrailerLine:
		d.extras++
		if c == '\r' {
			d.state = chunkTrailerLF
		}
	case chunkTrailerLF:
		return d.expect(c, '\n', chunkTrailer)
	case chunkEnd:
		return d.expect(c, '\n', chunkDone)
	}
	if d.extras > maxChunkExtras {
		return malformedChunk("extensions or trailers too long")
	}
	return nil
}

func (d *chunkDecoder) expect(c, want byte, next chunkState) error {
	if c != want {
		return malformedChunk("line end expected")
	}
	d.state = next
	return nil
}

func (d *chunkDecoder) afterSize() chunkState {
	if d.remaining == 0 {
		return chunkTrailer
	}
	return chunkData
}

func (d *chunkDecoder) stepSize(c byte) error {
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
	case c == '\r':
		d.state = chunkSizeLF
	case c == ';' || c == ' ' || c == '\t':
		d.state = chunkExtension
	default:
		return malformedChunk("bad size")
	}
	return nil
}

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
