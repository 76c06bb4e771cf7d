package logserver

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

// maxJournalLine bounds one line of the journal: a record in base64 with its names.
const maxJournalLine = 2 * maxRecordBytes

// journal keeps the records of the stand-in over its restarts, one JSON object a line.
type journal struct {
	file *os.File
}

// entry is one line of a journal.
type entry struct {
	Stream string `json:"stream"`
	Body   []byte `json:"body"`
}

// openJournal reads what a file holds and goes on writing to it. An empty path keeps nothing.
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
		// A torn last line belongs to an append that was never answered.
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			replay(e)
		}
	}
	return scanner.Err()
}

// write keeps a record before its append is answered.
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
