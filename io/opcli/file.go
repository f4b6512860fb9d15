package opcli

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/scram"
	"verbenagate/io/strict"
)

// servicesFile is the content of a file with service definitions.
type servicesFile struct {
	Services []serviceDef `yaml:"services"`
}

// serviceDef is a svcdef.Spec whose callers may have a password instead of a verifier.
type serviceDef struct {
	Name     string                 `yaml:"name"`
	Database string                 `yaml:"database"`
	Servers  []svcdef.ServerSpec    `yaml:"servers"`
	Ack      svcdef.Ack             `yaml:"ack"`
	Timeout  time.Duration          `yaml:"timeout"`
	MaxWait  time.Duration          `yaml:"max_wait"`
	Callers  []callerDef            `yaml:"callers"`
	Stale    []svcdef.StaleReadSpec `yaml:"stale_reads"`
	Once     []svcdef.OnceRuleSpec  `yaml:"once"`
	Login    svcdef.LoginSpec       `yaml:"login"`
}

// callerDef has either a password or a verifier. The password never leaves this process; only a verifier made from it does.
type callerDef struct {
	User     string `yaml:"user"`
	Password string `yaml:"password"`
	Verifier string `yaml:"verifier"`
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.InvalidConfig, "%v", err) // err contains the path
	}
	return data, nil
}

// ParseServices reads service definitions from data. It returns all violations as problems, and all recommendations that
// the definitions do not follow as warnings; each has its line. The file name is only used in these problems.
func ParseServices(file string, data []byte) (specs []svcdef.Spec, problems, warnings []strict.Problem) {
	var f servicesFile
	doc := strict.Decode(file, data, &f)
	if doc.ParseFailed() {
		return nil, doc.Problems(), nil
	}
	if len(f.Services) == 0 && !doc.HasProblem("services") {
		doc.Add("services", "at least one service is required")
	}
	var catalog svcdef.Catalog
	for i, def := range f.Services {
		path := fmt.Sprintf("services[%d].", i)
		spec := def.toSpec(doc, path)
		if _, ok := catalog.Service(spec.Name); ok && spec.Name != "" {
			doc.Add(path+"name", fmt.Sprintf("service %q is defined more than once", spec.Name))
		}
		rev := svcdef.NewDefinition(spec, "", time.Time{}).WithNumber(catalog.Revision()+1, "")
		for _, p := range catalog.Check(rev) {
			switch at := path + p.Path(); {
			case p.Warning():
				warnings = append(warnings, doc.ProblemAt(at, p.Message()))
			case concernsMaskedSecret(spec, p), doc.HasProblem(at):
			default:
				doc.Add(at, p.Message())
			}
		}
		catalog, _ = catalog.Apply(rev) // cannot fail, since rev has the next number
		specs = append(specs, spec)
	}
	return specs, doc.Problems(), warnings
}

// concernsMaskedSecret reports whether p is about a masked secret. Only the VM can check whether it has a stored secret to
// replace the mask.
func concernsMaskedSecret(spec svcdef.Spec, p svcdef.Problem) bool {
	if p.Path() == "login.password" {
		return spec.Login.Password == svcdef.Mask
	}
	for i, c := range spec.Callers {
		if p.Path() == fmt.Sprintf("callers[%d].verifier", i) {
			return c.Verifier == svcdef.Mask
		}
	}
	return false
}

func (d serviceDef) toSpec(doc *strict.Doc, path string) svcdef.Spec {
	spec := svcdef.Spec{
		Name: d.Name, Database: d.Database, Servers: d.Servers, Ack: d.Ack, Timeout: d.Timeout, MaxWait: d.MaxWait, StaleReads: d.Stale, Once: d.Once,
		Login: d.Login,
	}
	for i, c := range d.Callers {
		at := fmt.Sprintf("%scallers[%d]", path, i)
		switch {
		case c.Password != "" && c.Verifier != "":
			doc.Add(at+".verifier", "must not be given together with password")
		case c.Password == "" && c.Verifier == "":
			doc.Add(at+".verifier", "password or verifier is required")
		case c.Password != "":
			v, err := scram.Verifier(c.Password)
			if err != nil {
				doc.Add(at+".password", result.Message(err))
				// An empty verifier would be reported as a second problem.
				v = svcdef.Mask
			}
			c.Verifier = v
		}
		spec.Callers = append(spec.Callers, svcdef.CallerSpec{User: c.User, Verifier: c.Verifier})
	}
	return spec
}

// formatServices encodes specs in the format that ParseServices reads, with masked secrets.
func formatServices(specs ...svcdef.Spec) ([]byte, error) {
	for i := range specs {
		specs[i] = specs[i].Masked()
	}
	return yaml.Marshal(struct {
		Services []svcdef.Spec `yaml:"services"`
	}{specs})
}
