package corrupter

import "io"

// WriteModes returns the ways in which a stand-in writes a response, by name: in one piece or byte by byte.
func WriteModes() map[string]func(w io.Writer, text string) {
	return map[string]func(w io.Writer, text string){"whole": writeWhole, "byte by byte": writeBytes}
}

func writeWhole(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

func writeBytes(w io.Writer, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(w, text[i:i+1]); err != nil {
			return
		}
	}
}
