package linter

import (
	"errors"
	"strings"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/decoder"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// ReadDeclarations reads files or folders of declarations, as if they were published on an earlier configuration.
func ReadDeclarations(paths []string, earlier *reducer.State, now time.Time) *Document {
	documents, errs := decoder.Decoder{Now: now}.DecodeDocuments(paths)
	d := &Document{Places: map[Object]Place{}, File: strings.Join(paths, ",")}
	for _, err := range errs {
		d.Errors = append(d.Errors, findingOf(err))
	}
	var declarations []*schema.Declaration
	for _, document := range documents {
		if d.addPlace(document) {
			declarations = append(declarations, document.Declaration)
		}
	}
	state, failed := reducer.Assemble(earlier, declarations, now.UnixMilli())
	for _, err := range failed {
		d.Errors = append(d.Errors, Finding{Severity: SeverityError, Check: "invalid", Detail: err.Error()})
	}
	d.State = state
	return d
}

// addPlace records where an object is declared. It reports false, and an error is added, if it has been declared before.
func (d *Document) addPlace(document decoder.Document) bool {
	object := objectOf(document.Declaration)
	if first, ok := d.Places[object]; ok {
		d.Errors = append(d.Errors, DuplicateFinding(object, first, Place{File: document.File, Line: document.Line}))
		return false
	}
	d.Places[object] = Place{File: document.File, Line: document.Line, KeyLines: document.KeyLines}
	return true
}

// DuplicateFinding returns the finding for an object that is declared twice.
func DuplicateFinding(o Object, first, second Place) Finding {
	return Finding{Severity: SeverityError, Check: "duplicate", Object: o, File: second.File, Line: second.Line,
		Detail: "declared before at " + first.String()}
}

// findingOf converts an error of the decoder.
func findingOf(err error) Finding {
	f := Finding{Severity: SeverityError, Check: "decode", Detail: err.Error()}
	var e *decoder.Error
	if !errors.As(err, &e) {
		return f
	}
	f.Check, f.File, f.Line, f.Key = string(e.Kind), e.File, e.Line, e.Key
	switch {
	case e.Expected != "":
		f.Detail = "expected " + e.Expected
	case e.Cause != nil:
		f.Detail = e.Cause.Error()
	}
	return f
}

// objectOf returns what a declaration declares.
func objectOf(d *schema.Declaration) Object {
	switch item := d.Item.(type) {
	case *schema.Declaration_Service:
		return Object{Kind: KindService, Name: item.Service.Name}
	case *schema.Declaration_Version:
		return Object{Kind: "version", Name: item.Version.Service + "/" + item.Version.Name}
	case *schema.Declaration_Route:
		return Object{Kind: KindRoute, Name: item.Route.Name}
	case *schema.Declaration_Rollout:
		return Object{Kind: KindRollout, Name: item.Rollout.Name}
	case *schema.Declaration_Preset:
		return Object{Kind: KindPreset, Name: item.Preset.Name}
	case *schema.Declaration_Customer:
		return Object{Kind: KindCustomer, Name: item.Customer.Name}
	case *schema.Declaration_Removal:
		return Object{Kind: "removal", Name: item.Removal.Kind + "/" + item.Removal.Service + "/" + item.Removal.Name}
	}
	return Object{Kind: "active-preset"}
}
