package localsite

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	repositoryRoot = "../.."
	// minCommands is the minimum number of commands in docs/CAPACITY.md.
	minCommands = 15
)

var (
	pageCommand   = regexp.MustCompile("`([^`]*go test[^`]*)`")
	benchmarkFlag = regexp.MustCompile(`-bench (\w+)`)
	testFlag      = regexp.MustCompile(`-run (\w+)`)
	packagePath   = regexp.MustCompile(` \./(internal/\S+)$`)
)

// TestCommandsOfTheCapacityPageExist checks that every command in docs/CAPACITY.md
// names a benchmark or test of its package.
func TestCommandsOfTheCapacityPageExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "CAPACITY.md"))
	assert.NilError(t, err)
	commands := pageCommand.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(commands) >= minCommands, "%d commands", len(commands))
	for _, command := range commands {
		assertCommandExists(t, command[1])
	}
}

func assertCommandExists(t *testing.T, command string) {
	t.Helper()
	path := packagePath.FindStringSubmatch(command)
	assert.Assert(t, path != nil, "%q names no package", command)
	sources := testSources(t, filepath.Join(repositoryRoot, path[1]))
	if name := benchmarkFlag.FindStringSubmatch(command); name != nil {
		assert.Assert(t, strings.Contains(sources, "func Benchmark"+name[1]+"(b *testing.B)"), "%q", command)
		return
	}
	name := testFlag.FindStringSubmatch(command)
	assert.Assert(t, name != nil, "%q names neither benchmark nor test", command)
	assert.Assert(t, regexp.MustCompile(`func Test\w*`+name[1]).MatchString(sources), "%q", command)
}

// testSources returns the concatenated test files of a package.
func testSources(t *testing.T, directory string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*_test.go"))
	assert.NilError(t, err)
	var text strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		text.Write(data)
	}
	return text.String()
}
