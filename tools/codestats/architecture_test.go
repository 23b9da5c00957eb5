package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The tests of this file check docs/architecture.md against the code: every file, package and
// declaration that the page names must exist, and its table must list the packages in the
// order of their imports.

const (
	moduleRoot       = "../.."
	modulePath       = "silvergate"
	architecturePage = "docs/architecture.md"
)

// Prefixes of the headings of the sections that single tests read.
const (
	packagesHeading = "## Packages"
	statesHeading   = "## Who owns"
	waysHeading     = "## The way of"
)

var (
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	folderPath   = regexp.MustCompile(`^(internal|cmd|tools)/[a-z/]+$`)
	numberedStep = regexp.MustCompile(`^\d+\. `)
	// fileThenName matches a file and, after a colon, the name of a declaration in it.
	fileThenName = regexp.MustCompile("`([a-z_/]+\\.go)`: `([A-Za-z][A-Za-z0-9.]*)`")
	// goName matches an identifier, alone or after its package, its type or both. It matches
	// neither settings, which have underscores, nor keys and routes, which have slashes.
	goName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*(\.[A-Za-z][A-Za-z0-9]*)*$`)
)

// pageLine is a line of the page with the heading of its section.
type pageLine struct{ heading, text string }

func readArchitecture(t *testing.T) []pageLine {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(moduleRoot, architecturePage))
	if err != nil {
		t.Fatal(err)
	}
	var lines []pageLine
	heading := ""
	for _, text := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(text, "## ") {
			heading = text
		}
		lines = append(lines, pageLine{heading, text})
	}
	return lines
}

// codeSpans returns the texts in backticks.
func codeSpans(text string) []string {
	var spans []string
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// declarations are the functions, methods and types of the module's files, except tests,
// under all names that the page may use: a method Put of the type Store in the package cache
// is "Put", "Store.Put" and "cache.Store.Put". Names with a package are only in inModule.
type declarations struct {
	inModule map[string]bool
	inFile   map[string]map[string]bool
}

func (d *declarations) add(file, pkg string, names ...string) {
	if d.inFile[file] == nil {
		d.inFile[file] = map[string]bool{}
	}
	qualified := append([]string{pkg}, names...)
	for i := range qualified[1:] {
		name := strings.Join(qualified[i+1:], ".")
		d.inFile[file][name] = true
		d.inModule[name] = true
	}
	d.inModule[strings.Join(qualified, ".")] = true
}

// receiverName returns the name of a method's receiver type, or "" for a function.
func receiverName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if generic, ok := expression.(*ast.IndexExpr); ok {
		expression = generic.X
	}
	name, _ := expression.(*ast.Ident)
	if name == nil {
		return ""
	}
	return name.Name
}

func (d *declarations) addFile(file string, source *ast.File) {
	pkg := source.Name.Name
	for _, declaration := range source.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if receiver := receiverName(declaration); receiver != "" {
				d.add(file, pkg, receiver, declaration.Name.Name)
			} else {
				d.add(file, pkg, declaration.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				if spec, ok := spec.(*ast.TypeSpec); ok {
					d.add(file, pkg, spec.Name.Name)
				}
			}
		}
	}
}

// moduleSources parses the module's files, except tests, and returns them by path from the root.
func moduleSources(t *testing.T) map[string]*ast.File {
	t.Helper()
	paths, err := sourceFiles(moduleRoot)
	if err != nil {
		t.Fatal(err)
	}
	sources := map[string]*ast.File{}
	for _, file := range paths {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, file), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		sources[filepath.ToSlash(file)] = source
	}
	return sources
}

func moduleDeclarations(t *testing.T) *declarations {
	t.Helper()
	d := &declarations{inModule: map[string]bool{}, inFile: map[string]map[string]bool{}}
	for file, source := range moduleSources(t) {
		d.addFile(file, source)
	}
	return d
}

func TestArchitectureNamesFilesAndPackagesThatExist(t *testing.T) {
	checked := 0
	for _, line := range readArchitecture(t) {
		for _, span := range codeSpans(line.text) {
			if !strings.HasSuffix(span, ".go") && !folderPath.MatchString(span) {
				continue
			}
			checked++
			if _, err := os.Stat(filepath.Join(moduleRoot, span)); err != nil {
				t.Errorf("%s: there is no %s", architecturePage, span)
			}
		}
	}
	if checked == 0 {
		t.Error("the page names no file and no package")
	}
}

// Guards against a page that names a declaration which was renamed or removed. Every Go name in
// the numbered steps and in the column of owners must be declared in the module. A name that
// follows a file and a colon, anywhere in the page, must be declared in that file.
func TestArchitectureNamesWhatIsDeclared(t *testing.T) {
	declared := moduleDeclarations(t)
	checked := 0
	for _, line := range readArchitecture(t) {
		for _, match := range fileThenName.FindAllStringSubmatch(line.text, -1) {
			checked++
			if file, name := match[1], match[2]; !declared.inFile[file][name] {
				t.Errorf("%s: %s is not declared in %s", architecturePage, name, file)
			}
		}
		text := ""
		switch {
		case strings.HasPrefix(line.heading, waysHeading) && numberedStep.MatchString(line.text):
			text = line.text
		case strings.HasPrefix(line.heading, statesHeading) && strings.HasPrefix(line.text, "|"):
			text = strings.Split(line.text, "|")[2] // the owner
		}
		for _, span := range codeSpans(text) {
			if strings.HasSuffix(span, ".go") || !goName.MatchString(span) {
				continue
			}
			checked++
			if !declared.inModule[span] {
				t.Errorf("%s: %s is not declared in the module", architecturePage, span)
			}
		}
	}
	if checked == 0 {
		t.Error("the page names no declaration")
	}
}

// moduleImports returns, for each package's folder, the folders of the module's packages that
// the package imports, directly or indirectly.
func moduleImports(t *testing.T) map[string]map[string]bool {
	t.Helper()
	direct := map[string][]string{}
	for file, source := range moduleSources(t) {
		folder := path.Dir(file)
		for _, imported := range source.Imports {
			name, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if target, ok := strings.CutPrefix(name, modulePath+"/"); ok {
				direct[folder] = append(direct[folder], target)
			}
		}
	}
	all := map[string]map[string]bool{}
	for folder := range direct {
		all[folder] = map[string]bool{}
		addImports(all[folder], direct, folder)
	}
	return all
}

// addImports adds the direct and indirect imports of folder to found.
func addImports(found map[string]bool, direct map[string][]string, folder string) {
	for _, target := range direct[folder] {
		if !found[target] {
			found[target] = true
			addImports(found, direct, target)
		}
	}
}

// Guards against a table of packages that contradicts the imports: no package may depend on one
// listed below it, and every package that the core depends on must be listed.
func TestArchitectureOrdersPackagesByDependency(t *testing.T) {
	const core = "internal/coordination"
	var listed []string
	for _, line := range readArchitecture(t) {
		if strings.HasPrefix(line.heading, packagesHeading) && strings.HasPrefix(line.text, "| `") {
			listed = append(listed, codeSpans(strings.Split(line.text, "|")[1])...)
		}
	}
	if !slices.Contains(listed, core) {
		t.Fatalf("the table of packages lacks %s", core)
	}
	imports := moduleImports(t)
	for i, folder := range listed {
		for _, below := range listed[i+1:] {
			if imports[folder][below] {
				t.Errorf("%s depends on %s, which the table lists below it", folder, below)
			}
		}
	}
	for folder := range imports[core] {
		if !slices.Contains(listed, folder) {
			t.Errorf("%s depends on %s, which the table lacks", core, folder)
		}
	}
}
