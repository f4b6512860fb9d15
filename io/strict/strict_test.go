package strict_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/io/strict"
)

type item struct {
	Name string        `yaml:"name"`
	Age  time.Duration `yaml:"age"`
	Tags []string      `yaml:"tags"`
}

type file struct {
	Count int               `yaml:"count"`
	On    bool              `yaml:"on"`
	Items []item            `yaml:"items"`
	Names map[string]string `yaml:"names"`
}

func ExampleDecode() {
	var f file
	doc := strict.Decode("plan.yaml", []byte("count: many\nitems:\n  - nmae: seed\n"), &f)
	for _, p := range doc.Problems() {
		fmt.Println(p)
	}
	// Output:
	// plan.yaml:1:8: count: must be a whole number
	// plan.yaml:3:5: items[0].nmae: unknown key; known keys here are age, name, tags
}

// Guards against values decoded into the wrong field, defaults overwritten although their key is absent, and problems of
// absent values with a wrong position.
func TestDecodeFillsStruct(t *testing.T) {
	g := NewWithT(t)
	f := file{Count: 5}
	doc := strict.Decode("f", []byte("# comment\non: true\nitems:\n- name: a\n  age: 2m\n  tags: [x, \"1\"]\nnames: {k: v}\n"), &f)
	g.Expect(doc.Problems()).To(BeEmpty())
	g.Expect(f).To(Equal(file{
		Count: 5, On: true, Items: []item{{Name: "a", Age: 2 * time.Minute, Tags: []string{"x", "1"}}},
		Names: map[string]string{"k": "v"},
	}))
	g.Expect(doc.Has("items[0].age")).To(BeTrue())
	doc.Add("items[0].missing.deep", "is required")
	g.Expect(doc.Problems()[0].String()).To(Equal("f:4:3: items[0].missing.deep: is required"))
}

// Guards against invalid files that are accepted, in whole or in part, without an error.
func TestDecodeRefuses(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"count: 1.5", "1:8: count: must be a whole number"},
		{"count: 99999999999999999999", "1:8: count: must be a whole number"},
		{"on: 1", "1:5: on: must be true or false"},
		{"items:\n- name: 12", "2:9: items[0].name: must be a string; put it in quotes"},
		{"items:\n- age: 12", "2:8: items[0].age: must be a duration"},
		{"items:\n- age: 12q", `2:8: items[0].age: "12q" is not a duration`},
		{"items: 3", "1:8: items: must be a list"},
		{"- 3", "must be a mapping"},
		{"count: 1\ncount: 2", "2:1: "},
		{"names: &a {k: v}", "anchors"},
		{"names: {k: &a v, l: *a}", "anchors"},
		{"count: !!int 3", "anchors"},
		{"count: 1\n---\ncount: 2", "2 documents"},
		{"count: [", "f"},
		{strings.Repeat("[", 100000), "nested"},
		{"count: 1 #" + strings.Repeat("x", 1<<20), "bytes"},
	} {
		g := NewWithT(t)
		var f file
		g.Expect(strict.FormatProblems(strict.Decode("f", []byte(c.text), &f).Problems())).To(ContainSubstring(c.want),
			c.text[:min(len(c.text), 40)])
	}
}

// Guards against a setting with a fraction that is refused, and against text that is taken for a number.
func TestDecodeFloat(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]float64{"0.192": 0.192, "2": 2, "": 0.5, "-1.5": -1.5} {
		f := struct {
			Cores float64 `yaml:"cores"`
		}{Cores: 0.5}
		g.Expect(strict.Decode("f", []byte("cores: "+text+"\n"), &f).Problems()).To(BeEmpty(), text)
		g.Expect(f.Cores).To(Equal(want), text)
	}
	var f struct {
		Cores float64 `yaml:"cores"`
	}
	problems := strict.Decode("f", []byte("cores: many\n"), &f).Problems()
	g.Expect(problems).To(HaveLen(1))
	g.Expect(fmt.Sprint(problems[0])).To(Equal("f:1:8: cores: must be a number"))
}
