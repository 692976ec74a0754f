// Package fielddoc renders the documentation of a JSON format from the Go structs
// into which it is decoded: one section per struct with the name, type, default
// and doc comment of each field. Tests use it to keep the pages for operators up
// to date with the code.
package fielddoc

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
)

// Render returns the sections of the struct root and of all structs of the same
// package that its fields use, directly or indirectly, in the order of their
// first use. The directory dir contains the source of the package. A field
// without a doc comment or JSON name is an error.
func Render(dir, root string) (string, error) {
	structs, err := parse(dir)
	if err != nil {
		return "", err
	}
	r := &renderer{structs: structs, seen: map[string]bool{}}
	r.visit(root, "")
	return r.out.String(), r.err
}

// structType is a struct with its doc comment.
type structType struct {
	doc    string
	fields *ast.FieldList
}

// parse returns the structs in the non-test files of the package, by name.
func parse(dir string) (map[string]structType, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	structs := map[string]structType{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, source, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		collect(parsed, structs)
	}
	return structs, nil
}

func collect(file *ast.File, structs map[string]structType) {
	for _, declaration := range file.Decls {
		general, ok := declaration.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range general.Specs {
			named, ok := spec.(*ast.TypeSpec)
			if !ok {
				continue
			}
			if content, ok := named.Type.(*ast.StructType); ok {
				structs[named.Name.Name] = structType{general.Doc.Text(), content.Fields}
			}
		}
	}
}

type renderer struct {
	structs map[string]structType
	seen    map[string]bool
	out     strings.Builder
	err     error
}

// field is a struct field as it appears on a page.
type field struct {
	name, typeName, defaultValue, doc string
	// structName is the name of the struct type of the field or of its elements,
	// empty if there is none.
	structName string
}

// visit writes the sections of a struct and of the structs that it uses, unless
// they have been written already.
func (r *renderer) visit(name, path string) {
	if r.seen[name] || r.err != nil {
		return
	}
	r.seen[name] = true
	fields := r.fields(name)
	r.section(name, path, fields)
	for _, f := range fields {
		if f.structName != "" {
			r.visit(f.structName, join(path, f))
		}
	}
}

func join(path string, f field) string {
	own := f.name
	if strings.HasPrefix(f.typeName, "array") {
		own += "[]"
	}
	if path == "" {
		return own
	}
	return path + "." + own
}

func (r *renderer) section(name, path string, fields []field) {
	title := "Top level"
	if path != "" {
		title = "`" + path + "`"
	}
	fmt.Fprintf(&r.out, "## %s\n\n%s\n\n", title, oneLine(r.structs[name].doc))
	r.out.WriteString("| field | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, f := range fields {
		defaultText := f.defaultValue
		if defaultText != "" {
			defaultText = "`" + defaultText + "`"
		}
		fmt.Fprintf(&r.out, "| `%s` | %s | %s | %s |\n", f.name, f.typeName, defaultText, f.doc)
	}
	r.out.WriteString("\n")
}

func (r *renderer) fields(name string) []field {
	var list []field
	for _, f := range r.structs[name].fields.List {
		for _, ident := range f.Names {
			list = append(list, r.field(name, ident.Name, f))
		}
	}
	return list
}

func (r *renderer) field(owner, goName string, f *ast.Field) field {
	tag := reflect.StructTag("")
	if f.Tag != nil {
		tag = reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
	}
	name, _, _ := strings.Cut(tag.Get("json"), ",")
	doc := oneLine(f.Doc.Text())
	if name == "" || doc == "" {
		r.err = fmt.Errorf("field %s.%s has no JSON name or no doc comment", owner, goName)
	}
	typeName, structName := r.typeOf(f.Type)
	return field{
		name:         name,
		typeName:     typeName,
		defaultValue: tag.Get("default"),
		doc:          strings.ReplaceAll(doc, "|", "\\|"),
		structName:   structName,
	}
}

// typeOf returns the JSON name of a type and the name of the struct type of its
// value or elements, if any.
func (r *renderer) typeOf(expr ast.Expr) (typeName, structName string) {
	switch t := expr.(type) {
	case *ast.StarExpr:
		return r.typeOf(t.X)
	case *ast.ArrayType:
		element, elementStruct := r.typeOf(t.Elt)
		return "array of " + plural(element), elementStruct
	case *ast.SelectorExpr:
		return importedTypeName(t.Sel.Name), ""
	case *ast.Ident:
		if _, ok := r.structs[t.Name]; ok {
			return "object", t.Name
		}
		return basicTypeName(t.Name), ""
	}
	return "value", ""
}

func plural(name string) string {
	if name == "object" || name == "string" {
		return name + "s"
	}
	return name
}

// importedTypeName returns the JSON name of a type from another package.
func importedTypeName(name string) string {
	if name == "Duration" {
		return "duration"
	}
	return "string"
}

func basicTypeName(name string) string {
	switch name {
	case "bool":
		return "boolean"
	case "int", "int64", "uint64":
		return "integer"
	case "float64":
		return "number"
	}
	return "string"
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
