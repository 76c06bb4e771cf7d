package logserver_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/logserver"
)

// post sends a request to a server and returns the body of its response.
func post(t *testing.T, s *logserver.Server, path, body string) []byte {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	return w.Body.Bytes()
}

// appendRecord appends a record with an id to a stream and returns its offset.
func appendRecord(t *testing.T, s *logserver.Server, stream, id string) uint64 {
	t.Helper()
	var response logclient.AppendResponse
	body := post(t, s, "/streams/"+stream+"/records?id="+id, "body")
	qt.Assert(t, json.Unmarshal(body, &response), qt.IsNil)
	return response.Offset
}

// TestRepeatedAppend checks that an append with the id of a retained record adds none, also after a restart, and that
// neither other streams' records, nor records without an id, nor those no longer retained count.
func TestRepeatedAppend(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	s, err := logserver.New(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, appendRecord(t, s, "a", "one"), qt.Equals, uint64(0))
	qt.Assert(t, appendRecord(t, s, "a", "two"), qt.Equals, uint64(1))
	qt.Assert(t, appendRecord(t, s, "a", "one"), qt.Equals, uint64(0))
	qt.Assert(t, appendRecord(t, s, "b", "two"), qt.Equals, uint64(0))
	qt.Assert(t, appendRecord(t, s, "a", ""), qt.Equals, uint64(2))
	qt.Assert(t, appendRecord(t, s, "a", ""), qt.Equals, uint64(3))

	s, err = logserver.New(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, appendRecord(t, s, "a", "two"), qt.Equals, uint64(1))
	qt.Assert(t, appendRecord(t, s, "a", "three"), qt.Equals, uint64(4))
	post(t, s, "/faults", `{"retain": 2}`)
	qt.Assert(t, appendRecord(t, s, "a", "three"), qt.Equals, uint64(4))
	qt.Assert(t, appendRecord(t, s, "a", "two"), qt.Equals, uint64(5))
}
