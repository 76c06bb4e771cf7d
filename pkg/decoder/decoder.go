// Package decoder reads declarations from YAML documents.
//
// A file holds one or more documents separated by "---". Every document has a kind
// (service, version, route, rollout, preset, active-preset or removal) and kebab-case keys.
// Unknown keys are refused.
package decoder

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// MaxFileBytes bounds one declaration file.
const MaxFileBytes = 1 << 20

// Decoder turns documents into declarations.
type Decoder struct {
	// Now resolves relative deadlines (key within).
	Now time.Time
}

// DecodePaths reads every file, and every .yaml or .yml file below every folder, in name order.
func (d Decoder) DecodePaths(paths []string) ([]*schema.Declaration, error) {
	var all []*schema.Declaration
	for _, p := range paths {
		files, err := listFiles(p)
		if err != nil {
			return nil, err
		}
		for _, f := range files {
			decoded, err := d.decodeFile(f)
			if err != nil {
				return nil, err
			}
			all = append(all, decoded...)
		}
	}
	if len(all) == 0 {
		return nil, &Error{Operation: "decode", Kind: KindValue, File: strings.Join(paths, ","), Expected: "at least one declaration"}
	}
	if err := checkActivePresets(all); err != nil {
		return nil, err
	}
	return all, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{Operation: "open", Kind: KindRead, File: path, Cause: err}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(p string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		extension := filepath.Ext(p)
		if !e.IsDir() && (extension == ".yaml" || extension == ".yml") {
			files = append(files, p)
		}
		return nil
	})
	if err != nil {
		return nil, &Error{Operation: "walk", Kind: KindRead, File: path, Cause: err}
	}
	sort.Strings(files)
	return files, nil
}

func (d Decoder) decodeFile(path string) ([]*schema.Declaration, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{Operation: "open", Kind: KindRead, File: path, Cause: err}
	}
	if info.Size() > MaxFileBytes {
		return nil, &Error{Operation: "open", Kind: KindSize, File: path, Expected: "a file of at most 1 MiB"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Operation: "read", Kind: KindRead, File: path, Cause: err}
	}
	return d.Decode(path, text)
}

// Decode reads the documents of one file. The name only serves error messages.
func (d Decoder) Decode(name string, text []byte) ([]*schema.Declaration, error) {
	if len(text) > MaxFileBytes {
		return nil, &Error{Operation: "decode", Kind: KindSize, File: name, Expected: "a file of at most 1 MiB"}
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	var all []*schema.Declaration
	for _, document := range file.Docs {
		if document == nil || document.Body == nil {
			continue
		}
		declaration, err := d.decodeDocument(name, document.Body)
		if err != nil {
			return nil, err
		}
		all = append(all, declaration)
	}
	return all, nil
}

func (d Decoder) decodeDocument(name string, body ast.Node) (*schema.Declaration, error) {
	line := body.GetToken().Position.Line
	var h header
	if err := yaml.NodeToValue(body, &h); err != nil {
		return nil, syntaxError(name, err)
	}
	build, ok := d.builders()[h.Kind]
	if !ok {
		return nil, &Error{Operation: "decode", Kind: KindValue, File: name, Line: line, Key: "kind",
			Expected: "one of service, version, route, rollout, preset, active-preset, removal"}
	}
	declaration, err := build(body)
	if err == nil {
		return declaration, nil
	}
	var own *Error
	if errors.As(err, &own) {
		own.File = name
		own.Line = keyLine(body, own.Key, line)
		return nil, own
	}
	return nil, syntaxError(name, err)
}

// keyLine returns the line of a top-level key, or the fallback.
func keyLine(body ast.Node, key string, fallback int) int {
	mapping, ok := body.(*ast.MappingNode)
	if !ok {
		return fallback
	}
	for _, v := range mapping.Values {
		if v.Key.String() == key {
			return v.Key.GetToken().Position.Line
		}
	}
	return fallback
}

func syntaxError(name string, err error) error {
	e := &Error{Operation: "decode", Kind: KindSyntax, File: name, Cause: err}
	var withToken yaml.Error
	if errors.As(err, &withToken) {
		if t := withToken.GetToken(); t != nil {
			e.Line = t.Position.Line
		}
		e.Cause = errors.New(withToken.GetMessage())
	}
	return e
}

func strict[T any](body ast.Node) (T, error) {
	var value T
	reader := bytes.NewReader(nil)
	err := yaml.NewDecoder(reader, yaml.Strict()).DecodeFromNode(body, &value)
	return value, err
}

func checkActivePresets(all []*schema.Declaration) error {
	var names []string
	for _, d := range all {
		if name := d.GetActivePreset(); name != "" {
			names = append(names, name)
		}
	}
	if len(names) > 1 {
		return &Error{Operation: "check", Kind: KindValue, File: "declarations", Key: "active-preset",
			Expected: "one active preset, found " + strings.Join(names, " and ")}
	}
	return nil
}
