package app

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/linter"
	"github.com/tamarackpitch/tamarackpitch/internal/operator"
	"github.com/tamarackpitch/tamarackpitch/internal/requester"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/platform"
)

// stateTimeout bounds the query of a node for the configuration in force.
const stateTimeout = 5 * time.Second

// Config holds the config commands.
type Config struct {
	Check ConfigCheck `cmd:"" help:"Check a configuration before it is sent."`
}

// ConfigCheck is the config check command.
type ConfigCheck struct {
	Path        string `arg:"" help:"File or folder of declarations, or file of the users' platform's configuration." type:"path"`
	Against     string `help:"Earlier configuration, such as the one in force, to list the differences from." type:"path"`
	AgainstNode string `help:"Admin address of a node, IP:port, to list the differences from the configuration in force there."`
	Dialect     string `help:"Format of the files: own for declarations, platform for the users' platform's configuration." default:"own" enum:"own,platform"`
	JSON        bool   `help:"Print one JSON object." name:"json"`
}

// configReport is the result of the config check command.
type configReport struct {
	Valid    bool             `json:"valid"`
	Findings []linter.Finding `json:"findings"`
	// Differences is missing if there is nothing to compare with.
	Differences []linter.Difference `json:"differences,omitempty"`
}

// Run prints what is wrong in the configuration, and what differs from the earlier one. It returns an error if any finding
// is an error.
func (c *ConfigCheck) Run(w io.Writer) error {
	now := time.Now()
	before, err := c.earlier(now)
	if err != nil {
		return err
	}
	document, err := c.read(c.Path, before, now)
	if err != nil {
		return err
	}
	findings := linter.Lint(document)
	r := configReport{Valid: !linter.HasErrors(findings), Findings: findings}
	if before != nil {
		r.Differences = linter.Compare(before, document.State)
		if err := c.checkVersion(before, document.State); err != nil {
			r.Findings = append(r.Findings, linter.Finding{Severity: linter.SeverityError, Check: "version", File: c.Path,
				Detail: err.Error()})
			r.Valid = false
		}
	}
	if err := r.write(w, c.JSON); err != nil {
		return err
	}
	if !r.Valid {
		return &linter.Error{Operation: "config check", Kind: linter.KindInvalid, Detail: c.Path + " has errors"}
	}
	return nil
}

// earlier returns the configuration to compare with, or nil if there is none.
func (c *ConfigCheck) earlier(now time.Time) (*reducer.State, error) {
	if c.AgainstNode != "" {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		return operator.New(operator.Config{Nodes: []string{c.AgainstNode}, Requester: requester.New()}).State(ctx)
	}
	if c.Against == "" {
		return nil, nil
	}
	before, err := c.read(c.Against, nil, now)
	if err != nil {
		return nil, err
	}
	if len(before.Errors) > 0 {
		return nil, &linter.Error{Operation: "compare", Kind: linter.KindUnreadable, Detail: before.Errors[0].String()}
	}
	return before.State, nil
}

// read reads a configuration. What is wrong in it is in the document; it returns an error only if there is no such file.
// Declarations are added to the earlier configuration, if there is one, as they are when they are published.
func (c *ConfigCheck) read(path string, earlier *reducer.State, now time.Time) (*linter.Document, error) {
	if c.Dialect != dialectPlatform {
		return linter.ReadDeclarations([]string{path}, cmp.Or(earlier, reducer.NewState()), now), nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, &linter.Error{Operation: "read", Kind: linter.KindUnreadable, Detail: err.Error()}
	}
	return platform.ReadDocument(path, body), nil
}

// checkVersion returns an error if the configuration would be refused after the earlier one, because of its version.
func (c *ConfigCheck) checkVersion(before, after *reducer.State) error {
	if c.Dialect != dialectPlatform {
		return nil
	}
	return platform.CheckNewer(before.Label, after.Label)
}

func (r configReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintln(w, f)
	}
	for _, d := range r.Differences {
		_, _ = fmt.Fprintln(w, d)
	}
	_, err := fmt.Fprintf(w, "valid=%t findings=%d differences=%d\n", r.Valid, len(r.Findings), len(r.Differences))
	return err
}
