package logclient

// Record is one record of a stream as the log's protocol shows it.
type Record struct {
	Offset uint64 `json:"offset"`
	Body   []byte `json:"body"`
}

// Page is the answer to a read. First and Next are the bounds of the retained records.
type Page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Appended is the answer to an append.
type Appended struct {
	Offset uint64 `json:"offset"`
}
