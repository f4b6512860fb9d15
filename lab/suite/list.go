// Package suite runs the tests of the repository and reports whether they pass. Tests that are listed in a file as known failures
// run after the others and in separate processes. Their results are printed, but their failures do not fail the run.
package suite

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"verbenagate/io/strict"
)

// Section is the reason for which a test is listed.
type Section string

// Sections of the list file.
const (
	// KnownRed lists tests that fail because of a fault that is not fixed yet.
	KnownRed Section = "known red"
	// NotSteady lists tests of real processes that have not yet passed enough times in a row.
	NotSteady Section = "not yet steady"
)

// entryKeys are the keys of one entry of the list file. All of them are required.
type entryKeys struct {
	Test    string `yaml:"test"`
	Command string `yaml:"command"`
	Seed    string `yaml:"seed"`
	Seen    string `yaml:"seen"`
	Issue   int    `yaml:"issue"`
}

// listKeys are the top-level keys of the list file.
type listKeys struct {
	KnownRed  []entryKeys `yaml:"known_red"`
	NotSteady []entryKeys `yaml:"not_yet_steady"`
}

// Entry is one listed test.
type Entry struct {
	section Section
	pkg     string
	test    string
	keys    entryKeys
}

// Section returns the reason for which the test is listed.
func (e Entry) Section() Section { return e.section }

// Package returns the import path of the package that contains the test.
func (e Entry) Package() string { return e.pkg }

// Test returns the name of the test. The name of a subtest contains slashes, as in the output of go test.
func (e Entry) Test() string { return e.test }

// Command returns the command that runs only this test.
func (e Entry) Command() string { return e.keys.Command }

// Seed returns the seed of the run that gave the result returned by Seen.
func (e Entry) Seed() string { return e.keys.Seed }

// Seen describes the result for which the test was listed.
func (e Entry) Seen() string { return e.keys.Seen }

// Issue returns the number of the issue that tracks the entry.
func (e Entry) Issue() int { return e.keys.Issue }

func (e Entry) String() string { return e.pkg + " " + e.test }

// covers reports whether the entry lists the test or one of its parents.
func (e Entry) covers(pkg, test string) bool {
	return pkg == e.pkg && (test == e.test || strings.HasPrefix(test, e.test+"/"))
}

// ReadList reads the entries of the list file at path. It returns no entries and no error if the file does not exist.
func ReadList(path string) ([]Entry, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseList(filepath.Base(path), data)
}

// ParseList reads the entries from YAML. File is the name in error messages. The error lists every problem with its line and column.
func ParseList(file string, data []byte) ([]Entry, error) {
	var keys listKeys
	doc := strict.Decode(file, data, &keys)
	var list []Entry
	for i, k := range keys.KnownRed {
		list = addEntry(doc, list, KnownRed, fmt.Sprintf("known_red[%d]", i), k)
	}
	for i, k := range keys.NotSteady {
		list = addEntry(doc, list, NotSteady, fmt.Sprintf("not_yet_steady[%d]", i), k)
	}
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, fmt.Errorf("%s", strict.FormatProblems(problems))
	}
	return list, nil
}

// addEntry checks one entry, adds its problems to doc and returns list with the entry appended.
func addEntry(doc *strict.Doc, list []Entry, section Section, path string, k entryKeys) []Entry {
	for _, f := range []struct{ key, value string }{
		{"test", k.Test}, {"command", k.Command}, {"seed", k.Seed}, {"seen", k.Seen},
	} {
		if strings.TrimSpace(f.value) == "" {
			doc.Add(path, f.key+" is missing")
		}
	}
	if k.Issue <= 0 {
		doc.Add(path, "issue is missing")
	}
	pkg, test, _ := strings.Cut(k.Test, " ")
	if k.Test != "" && !strings.HasPrefix(test, "Test") {
		doc.Add(path, fmt.Sprintf("test %q does not have the form PACKAGE TEST", k.Test))
	}
	e := Entry{section: section, pkg: pkg, test: test, keys: k}
	if slices.ContainsFunc(list, func(o Entry) bool { return o.covers(pkg, test) || e.covers(o.pkg, o.test) }) {
		doc.Add(path, fmt.Sprintf("test %q is listed twice", k.Test))
	}
	return append(list, e)
}
