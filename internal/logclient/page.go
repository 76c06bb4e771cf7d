package logclient

// Record is one record of a stream in the log's JSON format.
type Record struct {
	Offset uint64 `json:"offset"`
	Body   []byte `json:"body"`
}

// Page is the response to a read. First is the offset of the first retained record, Next the one after the last.
type Page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}
