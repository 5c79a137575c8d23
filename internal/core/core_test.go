// Package core_test checks the rules that hold for all packages below it.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// forbidden are import paths of I/O, and prefixes of them if they end in "/".
var forbidden = []string{"net", "net/", "os", "os/", "log", "log/", "syscall", "io/ioutil", "testing"}

// Guards against decisions that depend on I/O, the clock or goroutines, which
// could not be explored or replayed in tests.
func TestCorePerformsNoIO(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		checkImports(t, path, file)
		ast.Inspect(file, func(n ast.Node) bool {
			checkNode(t, set, n)
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 20, "only %d files were checked", files)
}

func checkImports(t *testing.T, path string, file *ast.File) {
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		for _, f := range forbidden {
			hit := name == f || strings.HasSuffix(f, "/") && strings.HasPrefix(name, f)
			assert.Check(t, !hit, "%s imports %s", path, name)
		}
	}
}

func checkNode(t *testing.T, set *token.FileSet, n ast.Node) {
	switch n := n.(type) {
	case *ast.GoStmt:
		t.Errorf("%s: goroutine", set.Position(n.Pos()))
	case *ast.SelectorExpr:
		pkg, ok := n.X.(*ast.Ident)
		if ok && pkg.Name == "time" && clockFuncs[n.Sel.Name] {
			t.Errorf("%s: time.%s", set.Position(n.Pos()), n.Sel.Name)
		}
	}
}

var clockFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true,
}
