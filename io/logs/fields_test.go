package logs_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibislift/io/logs"
)

// firstField maps the name of each logging function to the index of the first
// field name among its arguments.
var firstField = map[string]int{"Debug": 1, "Info": 1, "Warn": 1, "Error": 1, "Log": 3, "With": 0, "log": 3}

// fieldsOf returns the field names in a call to a logging function. It finds those
// that are string literals.
func fieldsOf(call *ast.CallExpr) []string {
	function, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector {
		return nil
	}
	first, isLogging := firstField[function.Sel.Name]
	if !isLogging || len(call.Args) <= first || !strings.HasSuffix(strings.ToLower(receiverOf(function)), "log") && function.Sel.Name != "log" {
		return nil
	}
	var fields []string
	for index := first; index < len(call.Args); index += 2 {
		if literal, ok := call.Args[index].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			name, _ := strconv.Unquote(literal.Value)
			fields = append(fields, name)
		}
	}
	return fields
}

// receiverOf returns the last identifier of the expression that a method is called
// on.
func receiverOf(function *ast.SelectorExpr) string {
	switch receiver := function.X.(type) {
	case *ast.Ident:
		return receiver.Name
	case *ast.SelectorExpr:
		return receiver.Sel.Name
	default:
		return ""
	}
}

// usedFields returns the field names that the sources write. It maps each name to
// a file that writes it.
func usedFields(t *testing.T) map[string]string {
	t.Helper()
	used := map[string]string{}
	for _, folder := range []string{"core", "io", "daemon", "platform", "cmd/ibislift"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if call, ok := node.(*ast.CallExpr); ok {
					for _, field := range fieldsOf(call) {
						used[field] = path
					}
				}
				return true
			})
			return nil
		})
		is.New(t).NoErr(err)
	}
	return used
}

func TestFieldsAreOneList(t *testing.T) {
	used := usedFields(t)
	is.New(t).True(len(used) > 30) // check that the sources were read
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.New(t).NoErr(err)
	for field, path := range used {
		if logs.Fields[field] == "" {
			t.Errorf("%s writes the field %q, which logs.Fields does not contain", path, field)
		}
	}
	for field := range logs.Fields {
		if !bytes.Contains(page, []byte("`"+field+"`")) {
			t.Errorf("docs/OPERATIONS.md does not explain the field %q", field)
		}
	}
}
