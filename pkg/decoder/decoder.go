// Package decoder decodes declarations from YAML documents.
//
// A file holds one or more documents separated by "---". Every document has a kind
// (service, version, route, rollout, preset, active-preset, customer or removal) and kebab-case keys.
// Unknown keys are errors.
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

// MaxFileBytes bounds the size of one declaration file.
const MaxFileBytes = 1 << 20

// Decoder converts documents to declarations. Its methods return errors of type *Error.
type Decoder struct {
	// Now is the time to which relative deadlines (key within) are added.
	Now time.Time
}

// DecodePaths decodes the given files, and all .yaml and .yml files below the given folders in name order. It is an
// error if there is no declaration, or more than one active preset.
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

// Document is a declaration and where it stands.
type Document struct {
	Declaration *schema.Declaration
	File        string
	// Line is that of the first key, and KeyLines holds the lines of all top-level keys.
	Line     int
	KeyLines map[string]int
}

// DecodeDocuments decodes the files of DecodePaths. It goes on after an error, and returns all errors.
func (d Decoder) DecodeDocuments(paths []string) (documents []Document, errs []error) {
	for _, p := range paths {
		files, err := listFiles(p)
		if err != nil {
			errs = append(errs, err)
		}
		for _, f := range files {
			decoded, failed := d.decodeDocumentsOf(f)
			documents = append(documents, decoded...)
			errs = append(errs, failed...)
		}
	}
	return documents, errs
}

func (d Decoder) decodeDocumentsOf(path string) (documents []Document, errs []error) {
	text, err := readFile(path)
	if err != nil {
		return nil, []error{err}
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, []error{syntaxError(path, err)}
	}
	for _, document := range file.Docs {
		if document == nil || document.Body == nil {
			continue
		}
		declaration, err := d.decodeDocument(path, document.Body)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		documents = append(documents, Document{Declaration: declaration, File: path,
			Line: document.Body.GetToken().Position.Line, KeyLines: keyLines(document.Body)})
	}
	return documents, errs
}

// keyLines returns the lines of the top-level keys of a document.
func keyLines(body ast.Node) map[string]int {
	lines := map[string]int{}
	if mapping, ok := body.(*ast.MappingNode); ok {
		for _, v := range mapping.Values {
			lines[v.Key.String()] = v.Key.GetToken().Position.Line
		}
	}
	return lines
}

// listFiles returns the path of a file, or the sorted paths of the YAML files below a folder.
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
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return d.Decode(path, text)
}

// readFile returns the content of a file of at most MaxFileBytes.
func readFile(path string) ([]byte, error) {
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
	return text, nil
}

// Decode decodes the documents of one file. The name is used in error messages only.
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
			Expected: "one of service, version, route, rollout, preset, active-preset, customer, removal"}
	}
	declaration, err := build(body)
	if err == nil {
		return declaration, nil
	}
	var valueErr *Error
	if errors.As(err, &valueErr) {
		valueErr.File = name
		valueErr.Line = keyLine(body, valueErr.Key, line)
		return nil, valueErr
	}
	return nil, syntaxError(name, err)
}

// keyLine returns the line of a top-level key, or the fallback if the key is missing.
func keyLine(body ast.Node, key string, fallback int) int {
	if line, ok := keyLines(body)[key]; ok {
		return line
	}
	return fallback
}

// syntaxError wraps an error of the YAML library, with the line if the library gives it.
func syntaxError(name string, err error) error {
	e := &Error{Operation: "decode", Kind: KindSyntax, File: name, Cause: err}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		if t := yamlErr.GetToken(); t != nil {
			e.Line = t.Position.Line
		}
		e.Cause = errors.New(yamlErr.GetMessage())
	}
	return e
}

// decodeStrict decodes a document body; keys without a field in T are errors.
func decodeStrict[T any](body ast.Node) (T, error) {
	var value T
	reader := bytes.NewReader(nil)
	err := yaml.NewDecoder(reader, yaml.Strict()).DecodeFromNode(body, &value)
	return value, err
}

// checkActivePresets returns an error if more than one preset is to be activated.
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
