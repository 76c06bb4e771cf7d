package logserver

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

// maxJournalLine bounds a line of the journal, in bytes: base64 makes a record a third longer, and the names
// of the stream and the fields come on top.
const maxJournalLine = 2 * maxRecordBytes

// journal is a file from which a restarted server restores its records, one JSON object a line.
// It is not synced to disk: it survives the end of the process, not of the machine.
type journal struct {
	// file is nil if records are kept in memory only.
	file *os.File
}

// entry is a line of the journal: one record.
type entry struct {
	Stream string `json:"stream"`
	ID     string `json:"id,omitempty"`
	Body   []byte `json:"body"`
}

// openJournal passes the entries of a file to replay and opens the file for further ones. With an empty path
// records are kept in memory only.
func openJournal(path string, replay func(entry)) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	if err := readJournal(path, replay); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &journal{file: f}, err
}

func readJournal(path string, replay func(entry)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxJournalLine)
	for scanner.Scan() {
		var e entry
		// A truncated last line belongs to an append that was never answered.
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			replay(e)
		}
	}
	return scanner.Err()
}

// write appends an entry to the file. It is called before the append is answered.
func (j *journal) write(e entry) error {
	if j.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = j.file.Write(append(line, '\n'))
	return err
}
