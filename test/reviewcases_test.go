package scenarios_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReviewCasesRun guards against a template of settings, or anything else of the deploy file, with which the review's stand-ins start no
// node: their scripts then exit with 2, which is no pass (review/4). Each of the two programs runs one case, without its
// disruption, outside of review/, where a run would rewrite record.txt.
func TestReviewCasesRun(t *testing.T) {
	t.Parallel()
	repository, err := filepath.Abs("..")
	qt.Assert(t, err, qt.IsNil)
	// root holds what the cases take from a checkout: the deploy file, its template and the program.
	root := t.TempDir()
	qt.Assert(t, os.CopyFS(filepath.Join(root, "deploy"), os.DirFS(filepath.Join(repository, "deploy"))), qt.IsNil)
	build(t, repository, filepath.Join(root, "target", "tamarackpitch"), "./cmd/tamarackpitch")
	tests := []struct {
		name      string
		folder    string
		target    string
		arguments func(folder string) []string
	}{
		{"first review", filepath.Join(repository, "review", "standin"), ".",
			func(folder string) []string { return []string{"truncated-failure", root, folder} }},
		{"second review", repository, "./review/_cases2", func(string) []string { return []string{"leave-lost"} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			program := filepath.Join(folder, "cases")
			build(t, test.folder, program, test.target)
			c := exec.Command(program, test.arguments(folder)...)
			c.Dir = folder
			c.Env = append(os.Environ(), "TROUBLE=0", "REVIEW_ROOT="+root)
			output, err := c.CombinedOutput()
			record, _ := os.ReadFile(filepath.Join(folder, "record.txt"))
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s\n%s", output, record[:min(len(record), 20_000)]))
		})
	}
}

// build builds a program of the module of a folder.
func build(t *testing.T, folder, program, target string) {
	t.Helper()
	c := exec.Command("go", "build", "-o", program, target)
	c.Dir = folder
	output, err := c.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
}
