package decoder_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestDecodeErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "kind: service\nname: a\ninitial-version: v1\ncolour: red", `f.yaml:4: .*unknown field "colour".*`},
		{"unknown kind", "kind: servce\nname: a", `f.yaml:1: .*key "kind", expected one of service.*`},
		{"bad name", "kind: service\nname: A B\ninitial-version: v1", `f.yaml:2: .*key "name", expected a name of 1 to 63.*`},
		{"share above 1", "kind: preset\nname: p\nclasses: [x]\nfirst-share: 1.5", `f.yaml:4: .*key "first-share", expected a share above 0 and at most 1`},
		{"share not a number", "kind: preset\nname: p\nclasses: [x]\nfirst-share: .nan", `f.yaml:4: .*first-share.*`},
		{"retry budget", "kind: preset\nname: p\nclasses: [x]\nfirst-share: 0.1\nretry-budget: -1", `f.yaml:5: .*retry-budget.*share from 0 to 1`},
		{"no deadline", "kind: rollout\nname: x\nservice: a\nfrom: v1\nto: v2", `.*key "deadline", expected an RFC 3339 time.*`},
		{"same versions", "kind: rollout\nname: x\nservice: a\nfrom: v1\nto: v1\nwithin: 1m", `f.yaml:5: .*a version other than from`},
		{"timeout", "kind: route\nname: r\nservice: a\nclass: c\npath-prefix: /\nmethods: [GET]\ntimeout: soon", `f.yaml:7: .*key "timeout", expected a duration.*`},
		{"method", "kind: route\nname: r\nservice: a\nclass: c\npath-prefix: /\nmethods: [FETCH]", `f.yaml:6: .*key "methods".*`},
		{"not YAML", "kind: [", `f.yaml:1: decode: syntax error.*`},
		{"oversized", "# " + strings.Repeat("x", decoder.MaxFileBytes), `f.yaml: decode: size error, expected a file of at most 1 MiB`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := decoder.Decoder{Now: now}.Decode("f.yaml", []byte(test.text))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

func TestTwoActivePresets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "p.yaml")
	text := "kind: active-preset\nname: a\n---\nkind: active-preset\nname: b\n"
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	_, err := decoder.Decoder{Now: now}.DecodePaths([]string{path})
	qt.Assert(t, err, qt.ErrorMatches, ".*one active preset, found a and b")
}

func TestExamplesAreValid(t *testing.T) {
	for _, folder := range []string{"cooperative", "sanchakam"} {
		declarations, err := decoder.Decoder{Now: now}.DecodePaths([]string{filepath.Join("..", "..", "examples", folder)})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reducer.Check(declarations, now.UnixMilli()), qt.IsNil)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("kind: service\nname: a\ninitial-version: v1")
	f.Add("kind: rollout\nname: x\nservice: a\nfrom: v1\nto: v2\nwithin: 1m")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = decoder.Decoder{Now: now}.Decode("f.yaml", []byte(text))
	})
}
