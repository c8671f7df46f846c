package control

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decisionFiles are the files that implement decisions. deploy/balancer.toml must list them as policy.
var decisionFiles = []string{"collectors.go", "headroom.go", "list.go", "load.go", "placement.go", "request.go",
	"rungs.go", "slowstart.go", "tuning.go"}

// TestModuleSize checks the limits on lines and columns of the package's files, and that deploy/balancer.toml lists
// exactly the files with decisions as policy. The other files are those with the API, bookkeeping and messages.
func TestModuleSize(t *testing.T) {
	const maxLines, maxColumns = 480, 110
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	others := []string{"api.go", "message.go", "serverlist.go", "state.go"}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if listed := strings.Contains(string(deploy), `"control/`+name+`"`); listed != slices.Contains(decisionFiles, name) ||
			!listed && !slices.Contains(others, name) {
			t.Errorf("%s: listed as policy in balancer.toml: %v; this differs from the list of the test", name, listed)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for n, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > maxColumns && slices.Contains(decisionFiles, name) {
				t.Errorf("%s: line %d is too long: %d columns", name, n+1, w)
			}
		}
		if lines > maxLines {
			t.Errorf("%s: %d non-blank lines, want at most %d", name, lines, maxLines)
		}
	}
}
