package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"sort"
	"strings"
)

// countModule counts every package of the module at root and returns the counts sorted by folder.
func countModule(root string, words []string) ([]*packageCount, error) {
	paths, err := sourceFiles(root)
	if err != nil {
		return nil, err
	}
	withdrawn := wordSet(words)
	byFolder := map[string]*packageCount{}
	for _, path := range paths {
		folder := filepath.ToSlash(filepath.Dir(path))
		if byFolder[folder] == nil {
			byFolder[folder] = newPackageCount(folder)
		}
		if err := countFile(byFolder[folder], root, path, withdrawn); err != nil {
			return nil, err
		}
	}
	return sortedPackages(byFolder), nil
}

func sortedPackages(byFolder map[string]*packageCount) []*packageCount {
	packages := make([]*packageCount, 0, len(byFolder))
	for _, pkg := range byFolder {
		packages = append(packages, pkg)
	}
	sort.Slice(packages, func(i, j int) bool { return packages[i].folder < packages[j].folder })
	return packages
}

// sourceFiles returns the Go files below root, except tests, as paths relative to root.
func sourceFiles(root string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != root && ignoredFolder(entry.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if !isSource(entry.Name()) {
			return nil
		}
		relative, err := filepath.Rel(root, path)
		paths = append(paths, relative)
		return err
	})
	return paths, err
}

// ignoredFolder reports whether folders of this name are skipped, as the go command does.
func ignoredFolder(name string) bool {
	return strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_") || name == "testdata" || name == "vendor"
}

func isSource(name string) bool {
	return strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go")
}

// countFile parses the file at path, relative to root, and adds its counts and findings to pkg.
func countFile(pkg *packageCount, root, path string, withdrawn map[string]bool) error {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, filepath.Join(root, path), nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	counter := fileCounter{pkg: pkg, fset: fset, path: filepath.ToSlash(path), withdrawn: withdrawn}
	counter.countLength(file)
	for _, decl := range file.Decls {
		counter.countDeclaration(decl)
	}
	ast.Inspect(file, counter.countNode)
	return nil
}
