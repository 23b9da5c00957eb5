package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"strings"
)

// Functions, files and structs above these limits are counted.
const (
	maxFunctionLines = 60
	maxFileLines     = 500
	maxStructFields  = 20
)

// kind is a kind of finding. Each kind is a column of the table.
type kind int

const (
	longFunction kind = iota
	longFile
	largeStruct
	undocumented
	withdrawnWord
	kindCount
)

// finding is one counted item with its position.
type finding struct {
	kind     kind
	position string
	text     string
}

// packageCount has the counts and the findings of one package.
type packageCount struct {
	folder   string
	counts   [kindCount]int
	findings []finding
}

func newPackageCount(folder string) *packageCount {
	return &packageCount{folder: folder}
}

// fileCounter counts one file of a package.
type fileCounter struct {
	pkg       *packageCount
	fset      *token.FileSet
	path      string
	withdrawn map[string]bool
}

func (c *fileCounter) add(k kind, at token.Pos, text string) {
	position := fmt.Sprintf("%s:%d", c.path, c.line(at))
	c.pkg.counts[k]++
	c.pkg.findings = append(c.pkg.findings, finding{kind: k, position: position, text: text})
}

// line returns the line of a position in the file itself, ignoring //line directives.
func (c *fileCounter) line(at token.Pos) int {
	return c.fset.PositionFor(at, false).Line
}

func (c *fileCounter) countLength(file *ast.File) {
	lines := c.line(file.FileEnd - 1)
	if lines > maxFileLines {
		c.add(longFile, file.Package, fmt.Sprintf("%d lines", lines))
	}
}

// countDeclaration counts a top-level declaration if it is a long function, and its undocumented exported names.
func (c *fileCounter) countDeclaration(decl ast.Decl) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		c.countFunction(decl)
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			c.countSpec(decl, spec)
		}
	}
}

func (c *fileCounter) countFunction(function *ast.FuncDecl) {
	lines := c.line(function.End()) - c.line(function.Pos()) + 1
	if lines > maxFunctionLines {
		c.add(longFunction, function.Pos(), fmt.Sprintf("%s, %d lines", function.Name.Name, lines))
	}
	if function.Name.IsExported() && hasExportedReceiver(function) && !hasText(function.Doc) {
		c.add(undocumented, function.Pos(), function.Name.Name)
	}
}

// hasExportedReceiver reports whether the function is not a method of an unexported type.
func hasExportedReceiver(function *ast.FuncDecl) bool {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return true
	}
	return ast.IsExported(receiverType(function.Recv.List[0].Type))
}

// receiverType returns the name of a receiver's type, without pointer and type parameters.
func receiverType(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return receiverType(expr.X)
	case *ast.ParenExpr:
		return receiverType(expr.X)
	case *ast.IndexExpr:
		return receiverType(expr.X)
	case *ast.IndexListExpr:
		return receiverType(expr.X)
	case *ast.Ident:
		return expr.Name
	}
	return ""
}

// countSpec counts the undocumented exported names of one type, or of one line of constants or variables. The
// comment of a group documents all names in the group.
func (c *fileCounter) countSpec(decl *ast.GenDecl, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		c.countUndocumented([]*ast.Ident{spec.Name}, decl.Doc, spec.Doc, spec.Comment)
	case *ast.ValueSpec:
		c.countUndocumented(spec.Names, decl.Doc, spec.Doc, spec.Comment)
	}
}

func (c *fileCounter) countUndocumented(names []*ast.Ident, docs ...*ast.CommentGroup) {
	for _, doc := range docs {
		if hasText(doc) {
			return
		}
	}
	for _, name := range names {
		if name.IsExported() {
			c.add(undocumented, name.Pos(), name.Name)
		}
	}
}

func hasText(doc *ast.CommentGroup) bool {
	return doc != nil && strings.TrimSpace(doc.Text()) != ""
}

// countNode counts large structs and identifiers with withdrawn words. It is called for each node of the syntax tree.
func (c *fileCounter) countNode(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.StructType:
		c.countStruct(node)
	case *ast.Ident:
		c.countIdentifier(node)
	}
	return true
}

func (c *fileCounter) countStruct(structure *ast.StructType) {
	if fields := structure.Fields.NumFields(); fields > maxStructFields {
		c.add(largeStruct, structure.Pos(), fmt.Sprintf("%d fields", fields))
	}
}

// countIdentifier counts an identifier that contains withdrawn words, once however many it contains.
func (c *fileCounter) countIdentifier(identifier *ast.Ident) {
	for _, word := range splitWords(identifier.Name) {
		if c.withdrawn[word] {
			c.add(withdrawnWord, identifier.Pos(), identifier.Name)
			return
		}
	}
}
