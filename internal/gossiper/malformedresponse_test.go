package gossiper

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/http2/hpack"

	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

var (
	okHead     = fields(":status", "200", "content-type", "application/grpc")
	okTrailers = fields("grpc-status", "0")
)

// malformedHeads are the header fields of responses that no client may take.
func malformedHeads() map[string][]hpack.HeaderField {
	all := map[string][]hpack.HeaderField{
		"no status":             fields("content-type", "application/grpc"),
		"two statuses":          fields(":status", "200", ":status", "200", "content-type", "application/grpc"),
		"status after a field":  fields("content-type", "application/grpc", ":status", "200"),
		"unknown pseudo-header": fields(":status", "200", ":length", "1", "content-type", "application/grpc"),
		"no content type":       fields(":status", "200"),
		"other content type":    fields(":status", "200", "content-type", "text/plain"),
		"two lengths":           append(slices.Clone(okHead), fields("content-length", "1000", "content-length", "1001")...),
	}
	for _, length := range []string{"", "0", "1", "+1000", "-0", "x", "1000 1000", "1000, 1000", "0x1000", "1000\x00", "99999999999999999999"} {
		all[fmt.Sprintf("content-length %q", length)] = append(slices.Clone(okHead), fields("content-length", length)...)
	}
	for _, status := range []string{"", "000", "0", "099", "99", "600", "999", "2000", "0200", "+200", "-200", "x00", " 200", "200 ", "20\x00", "204", "500", "503"} {
		all[fmt.Sprintf("status %q", status)] = fields(":status", status, "content-type", "application/grpc")
	}
	for _, name := range []string{"x a", "x-a ", " x-a", "x\x00a", "x\x01a", "x\x7fa", "x\xffa", "x:a", "X-A", ""} {
		all[fmt.Sprintf("name %q", name)] = append(slices.Clone(okHead), fields(name, "b")...)
	}
	for _, value := range []string{"\x00", "a\x01b", "a\rb", "a\nb", "a\r\nx-b: c", "\x7f"} {
		all[fmt.Sprintf("value %q", value)] = append(slices.Clone(okHead), fields("x-a", value)...)
	}
	return all
}

// malformedBegins are responses of which no part may be taken, without data and trailers.
func malformedBegins() map[string]scriptedResponse {
	all := map[string]scriptedResponse{
		"interim response 101":    {interim: fields(":status", "101"), head: okHead},
		"interim response 000":    {interim: fields(":status", "000"), head: okHead},
		"interim response 099":    {interim: fields(":status", "099"), head: okHead},
		"interim response length": {interim: fields(":status", "103", "content-length", "1"), head: okHead},
		"interim response name":   {interim: fields(":status", "103", "x a", "b"), head: okHead},
	}
	for name, head := range malformedHeads() {
		all[name] = scriptedResponse{head: head}
	}
	return all
}

// malformedResponses are responses to a request that no client may take for a message. valid is the message with its prefix.
func malformedResponses(valid []byte) map[string]scriptedResponse {
	all := map[string]scriptedResponse{
		"no trailers":                {head: okHead, data: valid},
		"no message":                 {head: okHead, trailers: okTrailers},
		"two messages":               {head: okHead, data: append(slices.Clone(valid), valid...), trailers: okTrailers},
		"bytes after the message":    {head: okHead, data: append(slices.Clone(valid), 0), trailers: okTrailers},
		"message cut":                {head: okHead, data: valid[:len(valid)-1], trailers: okTrailers},
		"prefix cut":                 {head: okHead, data: valid[:grpcPrefixBytes-1], trailers: okTrailers},
		"no end":                     {head: okHead, data: valid, open: true},
		"interim response at an end": {head: fields(":status", "103"), data: valid},
		"trailers without status":    {head: okHead, data: valid, trailers: fields("x-a", "b")},
		"second head":                {head: okHead, data: valid, trailers: append(slices.Clone(okHead), okTrailers...)},
	}
	for name, begin := range malformedBegins() {
		begin.data, begin.trailers = valid, okTrailers
		all[name] = begin
	}
	for _, flag := range []byte{1, 2, 0x80, 0xff} {
		data := slices.Clone(valid)
		data[0] = flag
		all[fmt.Sprint("flag ", flag)] = scriptedResponse{head: okHead, data: data, trailers: okTrailers}
	}
	for _, length := range []byte{0, 1, byte(len(valid) - grpcPrefixBytes - 1), byte(len(valid) - grpcPrefixBytes + 1), 0xff} {
		data := slices.Clone(valid)
		data[grpcPrefixBytes-1] = length
		all[fmt.Sprint("length ", length)] = scriptedResponse{head: okHead, data: data, trailers: okTrailers}
	}
	for _, length := range []int{len(valid) - 1, len(valid) + 1} {
		head := append(slices.Clone(okHead), fields("content-length", fmt.Sprint(length))...)
		all[fmt.Sprint("content-length ", length)] = scriptedResponse{head: head, data: valid, trailers: okTrailers}
	}
	for _, status := range []string{"", "x", " 0", "0 ", "0x0", "-0", "+0", "0\x00", "0, 0", "99999999999999999999"} {
		all[fmt.Sprintf("grpc-status %q", status)] = scriptedResponse{head: okHead, data: valid, trailers: fields("grpc-status", status)}
	}
	for _, statuses := range [][2]string{{"0", "13"}, {"13", "0"}, {"0", "0"}, {"x", "0"}} {
		all[fmt.Sprintf("grpc-statuses %q", statuses)] = scriptedResponse{head: okHead, data: valid,
			trailers: fields("grpc-status", statuses[0], "grpc-status", statuses[1])}
	}
	for _, name := range []string{"x a", "x\x00a", "x\x01a", "X-A", ":status", ""} {
		all[fmt.Sprintf("trailer %q", name)] = scriptedResponse{head: okHead, data: valid, trailers: append(slices.Clone(okTrailers), fields(name, "b")...)}
	}
	return all
}

// validResponses are unusual responses that a client takes.
func validResponses(valid []byte) map[string]scriptedResponse {
	interim := fields(":status", "103", "link", "x")
	stating := append(slices.Clone(okHead), fields("content-length", fmt.Sprint(len(valid)))...)
	return map[string]scriptedResponse{
		"valid":            {head: okHead, data: valid, trailers: okTrailers},
		"split heads":      {head: okHead, data: valid, trailers: okTrailers, split: true},
		"padding":          {head: stating, data: valid, trailers: okTrailers, padding: make([]byte, 9)},
		"length":           {head: stating, data: valid, trailers: okTrailers},
		"length twice":     {head: append(slices.Clone(stating), stating[len(okHead)]), data: valid, trailers: okTrailers},
		"interim response": {interim: interim, head: okHead, data: valid, trailers: okTrailers},
		"other fields": {head: append(slices.Clone(okHead), fields("x-a", "", "x-a", "\xff\t b")...), data: valid,
			trailers: append(slices.Clone(okTrailers), fields("x-a", "b")...)},
	}
}

// eachResponse runs a test on each response, whole and byte by byte.
func eachResponse(t *testing.T, responses map[string]scriptedResponse, test func(t *testing.T, g *Gossiper, address string)) {
	for name, r := range responses {
		for mode, write := range corrupter.WriteModes() {
			t.Run(mode+"/"+name, func(t *testing.T) {
				t.Parallel()
				g, err := New(Config{Listen: "127.0.0.1:0", Logger: hclog.NewNullLogger(), Clock: recorder.New("n", time.Now).Clock(),
					Hello: func() *schema.Hello { return testHello }})
				qt.Assert(t, err, qt.IsNil)
				defer g.Close()
				test(t, g, newMalformedPeer(t, r, write).listener.Addr().String())
			})
		}
	}
}

// testHello is the hello of both ends of a link.
var testHello = &schema.Hello{Protocol: Protocol, Member: &schema.Member{Node: "n"}}

// TestMalformedTokenResponses: a node that asks another one for tokens takes no malformed response for one.
func TestMalformedTokenResponses(t *testing.T) {
	valid := grpcMessage(t, &schema.TokenResponse{Grants: []*schema.TokenGrant{{Tokens: 2}, {Tokens: 3}}})
	eachResponse(t, malformedResponses(valid), func(t *testing.T, g *Gossiper, address string) {
		response, err := g.AskTokens(address, &schema.TokenRequest{})
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%v", response))
	})
	eachResponse(t, validResponses(valid), func(t *testing.T, g *Gossiper, address string) {
		response, err := g.AskTokens(address, &schema.TokenRequest{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(response.Grants), qt.Equals, 2)
	})
}

// TestMalformedLinkResponses: a node opens no link over which a malformed response arrives.
func TestMalformedLinkResponses(t *testing.T) {
	hello := grpcMessage(t, &schema.Frame{Hello: testHello})
	// A link must not end before the node has sent its own hello.
	asLink := func(responses map[string]scriptedResponse) map[string]scriptedResponse {
		for name, r := range responses {
			r.data, r.trailers, r.open = hello, nil, true
			responses[name] = r
		}
		return responses
	}
	eachResponse(t, asLink(malformedBegins()), func(t *testing.T, g *Gossiper, address string) {
		g.Dial(address)
		qt.Assert(t, (<-g.Events()).Kind, qt.Equals, DialFailed)
	})
	eachResponse(t, asLink(validResponses(hello)), func(t *testing.T, g *Gossiper, address string) {
		g.Dial(address)
		qt.Assert(t, (<-g.Events()).Kind, qt.Equals, LinkOpened)
	})
}
