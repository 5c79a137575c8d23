// Package core_test checks rules that apply to all packages in internal/core.
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

// forbiddenImports are import paths of packages that perform I/O. An entry that ends
// in "/" forbids all paths with that prefix.
var forbiddenImports = []string{"net", "net/", "os", "os/", "log", "log/", "syscall", "io/ioutil", "testing"}

// Guards against decisions that depend on I/O, the clock or goroutines. Tests could
// not explore or replay them.
func TestCorePerformsNoIO(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		checkImports(t, path, file)
		ast.Inspect(file, func(n ast.Node) bool {
			checkNode(t, fset, n)
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
		for _, forbidden := range forbiddenImports {
			matches := name == forbidden || strings.HasSuffix(forbidden, "/") && strings.HasPrefix(name, forbidden)
			assert.Check(t, !matches, "%s must not import %s", path, name)
		}
	}
}

func checkNode(t *testing.T, fset *token.FileSet, n ast.Node) {
	switch n := n.(type) {
	case *ast.GoStmt:
		t.Errorf("%s: must not start a goroutine", fset.Position(n.Pos()))
	case *ast.SelectorExpr:
		pkg, ok := n.X.(*ast.Ident)
		if ok && pkg.Name == "time" && forbiddenTimeFuncs[n.Sel.Name] {
			t.Errorf("%s: must not use time.%s", fset.Position(n.Pos()), n.Sel.Name)
		}
	}
}

// forbiddenTimeFuncs are the functions of package time that read the clock or wait.
var forbiddenTimeFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true,
}
