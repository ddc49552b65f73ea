package porthub

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// historyPages are the paths of pages that describe earlier states of the project, with the names that the code had then.
var historyPages = []string{"docs/rounds.md", "docs/incidents", "CHANGELOG.md"}

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	markupLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	testName   = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w+`)
	// goName is a package and a name in it, as in `coordinator.Core.Step`.
	goName = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Z]\w*)(?:\.([A-Za-z]\w*))?(?:\(.*\))?$`)
	// filePath is a relative path of a file or folder.
	filePath = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)*/?$`)
)

// formerPackages matches files, identifiers and folders of packages by the names that these packages had before they were renamed.
var formerPackages = regexp.MustCompile(`^(choice|control|wire|platform|platform/node|intake|service|tables|front/\w+|probe|outbound|inbox|standin|drill|desk|expect)(/\w+\.go|\.[A-Z]\w*.*|/)$`)

// pages returns the text of each Markdown page by its path. Without withHistory it leaves out historyPages.
func pages(t *testing.T, withHistory bool) map[string]string {
	t.Helper()
	texts := map[string]string{}
	err := filepath.WalkDir(".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (name == "journal" || name == ".git" || name == "bin") {
			return fs.SkipDir
		}
		isHistory := slices.ContainsFunc(historyPages, func(h string) bool { return strings.HasPrefix(filepath.ToSlash(name), h) })
		if filepath.Ext(name) != ".md" || isHistory && !withHistory {
			return nil
		}
		text, err := os.ReadFile(name)
		texts[filepath.ToSlash(name)] = string(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(texts) < 10 {
		t.Fatalf("found only %d pages, want at least 10", len(texts))
	}
	return texts
}

// packagePaths returns the folders of this module's packages, relative to the root.
func packagePaths(t *testing.T) []string {
	t.Helper()
	out, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, p := range strings.Fields(string(out)) {
		if below, ok := strings.CutPrefix(p, "porthub/"); ok {
			paths = append(paths, below)
		}
	}
	return paths
}

// The table of packages on the architecture page lists every package of the module, and nothing else.
func TestArchitecturePageNamesEveryPackage(t *testing.T) {
	page, err := os.ReadFile("docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "| package | what it is |")
	table, _, ended := strings.Cut(table, "\n\n")
	if !found || !ended {
		t.Fatal("docs/architecture.md has no table of packages")
	}
	var named []string
	for _, row := range strings.Split(table, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 3 {
			continue
		}
		for _, span := range codeSpan.FindAllStringSubmatch(cells[1], -1) {
			named = append(named, span[1])
		}
	}
	packages := packagePaths(t)
	for _, p := range packages {
		if !slices.Contains(named, p) {
			t.Errorf("the page does not name package %s", p)
		}
	}
	for _, p := range named {
		if !slices.Contains(packages, p) {
			t.Errorf("the page names %s, which is not a package of this module", p)
		}
	}
}

// Links and file paths on the pages refer to files that exist.
func TestPagesLinkToFilesThatExist(t *testing.T) {
	for name, text := range pages(t, false) {
		for _, link := range markupLink.FindAllStringSubmatch(text, -1) {
			target, _, _ := strings.Cut(link[1], "#")
			if target == "" || strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(path.Dir(name), target)); err != nil {
				t.Errorf("%s links to %s: %v", name, link[1], err)
			}
		}
		for _, span := range codeSpan.FindAllStringSubmatch(text, -1) {
			if formerPackages.MatchString(span[1]) {
				t.Errorf("%s names %s, which belongs to a package that was renamed", name, span[1])
				continue
			}
			if !isRepositoryPath(span[1]) {
				continue
			}
			if _, err := os.Stat(span[1]); err != nil {
				t.Errorf("%s names %s, which does not exist", name, span[1])
			}
		}
	}
}

// isRepositoryPath reports whether a code span is a path from the root of the repository. It must have a folder, and either the first
// folder exists or the path ends in .go or .md.
func isRepositoryPath(span string) bool {
	if !filePath.MatchString(span) {
		return false
	}
	first, _, hasFolder := strings.Cut(span, "/")
	if !hasFolder {
		return false
	}
	info, err := os.Stat(first)
	isFolder := err == nil && info.IsDir()
	return isFolder || strings.HasSuffix(span, ".go") || strings.HasSuffix(span, ".md")
}

// declared returns the set of names that the packages declare: "package.Name" and "package.Type.Member", and the names of test
// functions without their package.
func declared(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range append(packagePaths(t), ".") {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			collect(names, strings.TrimSuffix(parsed.Name.Name, "_test"), parsed)
		}
	}
	return names
}

func collect(names map[string]bool, pkg string, file *ast.File) {
	names[pkg] = true
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			collectFunc(names, pkg, d)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				collectSpec(names, pkg, spec)
			}
		}
	}
}

func collectFunc(names map[string]bool, pkg string, d *ast.FuncDecl) {
	if testName.MatchString(d.Name.Name) {
		names[d.Name.Name] = true
	}
	if d.Recv == nil {
		names[pkg+"."+d.Name.Name] = true
		return
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if id, ok := receiver.(*ast.Ident); ok {
		names[pkg+"."+id.Name+"."+d.Name.Name] = true
	}
}

func collectSpec(names map[string]bool, pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		names[pkg+"."+s.Name.Name] = true
		if body, ok := s.Type.(*ast.StructType); ok {
			for _, field := range body.Fields.List {
				for _, name := range field.Names {
					names[pkg+"."+s.Name.Name+"."+name.Name] = true
				}
			}
		}
	}
}

// Go names on the pages are declared: `package.Name` and `package.Type.Member` in code spans, and the names of tests anywhere.
func TestPagesNameWhatTheCodeDeclares(t *testing.T) {
	names := declared(t)
	for name, text := range pages(t, false) {
		for _, span := range codeSpan.FindAllStringSubmatch(text, -1) {
			m := goName.FindStringSubmatch(span[1])
			if m == nil || !names[m[1]] {
				continue
			}
			full := m[1] + "." + m[2]
			if m[3] != "" {
				full += "." + m[3]
			}
			if !names[full] {
				t.Errorf("%s names %s, which is not declared", name, span[1])
			}
		}
		for _, test := range testName.FindAllString(text, -1) {
			if !names[test] {
				t.Errorf("%s names the test %s, which does not exist", name, test)
			}
		}
	}
}
