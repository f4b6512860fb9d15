// Package suite runs the tests of the repository and decides whether they pass. Tests that are listed in a file run too, after
// the others and in processes of their own; their results are printed and do not decide.
package suite

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"verbenagate/io/strict"
)

// Section tells why a test is listed.
type Section string

// Sections of the file.
const (
	// KnownRed lists tests that fail for a fault which is not mended yet.
	KnownRed Section = "known red"
	// NotSteady lists tests of real processes that have not passed often enough in a row.
	NotSteady Section = "not yet steady"
)

// entryKeys describe one entry of the file. All of them are required.
type entryKeys struct {
	Test    string `yaml:"test"`
	Command string `yaml:"command"`
	Seed    string `yaml:"seed"`
	Seen    string `yaml:"seen"`
	Issue   int    `yaml:"issue"`
}

// listKeys are the keys of the file.
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

// Section returns why the test is listed.
func (e Entry) Section() Section { return e.section }

// Package returns the import path of the test's package.
func (e Entry) Package() string { return e.pkg }

// Test returns the name of the test; that of a subtest has slashes, as in the output of go test.
func (e Entry) Test() string { return e.test }

// Command returns the command that runs the test alone.
func (e Entry) Command() string { return e.keys.Command }

// Seed returns the seed of the run in which the result was seen.
func (e Entry) Seed() string { return e.keys.Seed }

// Seen returns what was seen.
func (e Entry) Seen() string { return e.keys.Seen }

// Issue returns the number of the issue that tracks the entry.
func (e Entry) Issue() int { return e.keys.Issue }

func (e Entry) String() string { return e.pkg + " " + e.test }

// covers reports whether the entry lists the test or one that it is a subtest of.
func (e Entry) covers(pkg, test string) bool {
	return pkg == e.pkg && (test == e.test || strings.HasPrefix(test, e.test+"/"))
}

// ReadList reads the entries of the file. A file that does not exist has none.
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

// ParseList reads the entries from YAML. The error names every wrong place.
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
		return nil, fmt.Errorf("%s", strict.Text(problems))
	}
	return list, nil
}

// addEntry checks one entry and appends it.
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
