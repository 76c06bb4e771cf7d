package corrupter

import (
	"fmt"
	"strings"
)

// sizeLines are malformed lines with a chunk's size. {size} stands for the size.
var sizeLines = []string{"{size} {size}", "{size} x", "{size} \x01", "{size}\x00", "{size};\x00", "{size};a\x01=b", "{size};a\x7f", "{size};a\nb",
	"{size}\n", "{size}\t{size}", "+{size}", "-{size}", "0x{size}", " {size}", "", "x", "{size}h", "{size}\rh"}

// ChunkSizes returns responses whose body is not divided into chunks as it should.
func (c Corrupter) ChunkSizes() []Response {
	var all []Response
	for _, line := range sizeLines {
		all = append(all, c.chunked(fmt.Sprintf("chunk size %q", line), okLine, strings.ReplaceAll(line, "{size}", c.size()), ""))
	}
	valid := c.chunked("", okLine, c.size(), "").Text
	body := c.config.Body
	return append(all,
		Response{Name: "no line end after a chunk", Text: strings.Replace(valid, body+"\r\n", body, 1)},
		Response{Name: "line feed after a chunk", Text: strings.Replace(valid, body+"\r\n", body+"\n", 1)})
}

var trailers = []string{"X A: b\r\n", "X-A : b\r\n", " X-A: b\r\n", "\tX-A: b\r\n", "no field\r\n", "X-A\r\n", ":\r\n", ": b\r\n", "X\x00A: b\r\n",
	"X\x01A: b\r\n", "X\x7fA: b\r\n", "X\xffA: b\r\n", "X-A: b\x00\r\n", "X-A: b\x01\r\n", "X-A: b\x7f\r\n", "X-A: b\nX-B: c\r\n", "X-A: b\n", "\n",
	"X-A: b\r\n\n", "X-A: b\rc\r\n", "X-A: b\r\n c\r\n"}

// Trailers returns chunked responses with a trailer that is no field.
func (c Corrupter) Trailers() []Response {
	var all []Response
	for _, t := range trailers {
		all = append(all, c.chunked(fmt.Sprintf("trailers %q", t), okLine, c.size(), t))
	}
	return all
}
