package slope

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/front"
	"verbenagate/io/parse"
	"verbenagate/io/revlog"
	"verbenagate/io/scram"
)

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

type noIdempotencyKeys struct{}

func (noIdempotencyKeys) Key(caller.Request) (*work.OnceKey, error) { return nil, nil }

// callersPerService is the number of users in each definition of a measurement with many services.
const callersPerService = 40

// definition returns the definition of service i, with three servers and the given number of users.
func definition(i, users int, verifier string) svcdef.Spec {
	name := service
	if i > 0 {
		name = fmt.Sprintf("%s%d", service, i)
	}
	spec := svcdef.Spec{
		Name: name, Database: service, Timeout: 20 * time.Second, Login: svcdef.LoginSpec{User: user, Password: password},
	}
	for k := range 3 {
		spec.Servers = append(spec.Servers, svcdef.ServerSpec{
			Address: fmt.Sprintf("127.%d.%d.%d:5432", 1+k, i/250, 1+i%250), DataCentre: fmt.Sprintf("dc%d", k), Slots: 5, Connections: 35,
		})
	}
	for k := range users {
		u := user
		if k > 0 {
			u = fmt.Sprintf("%s%d", user, k)
		}
		spec.Callers = append(spec.Callers, svcdef.CallerSpec{User: u, Verifier: verifier})
	}
	return spec
}

var unused = Measurement{
	name: "unused", x: "services", sizes: []int{100, 200, 400, 820}, tiny: 5,
	help: fmt.Sprintf("definitions with %d users each on a VM that uses none of them", callersPerService),
	run:  measureUnusedDefinitions,
}

// measureUnusedDefinitions configures a catalogue and a front, which every VM has, with n definitions. Then it changes
// definitions one after the other.
func measureUnusedDefinitions(_ context.Context, n int) ([]Value, error) {
	verifier, err := scram.Verifier(password)
	if err != nil {
		return nil, err
	}
	parser := parse.New()
	before := memoryInUse()
	var cat svcdef.Catalog
	for i := range n {
		// Each definition is encoded and decoded, as on a VM, so that no two definitions share memory.
		if cat, err = applyEncoded(cat, definition(i, callersPerService, verifier)); err != nil {
			return nil, err
		}
	}
	f := front.New(front.Config{
		DataCentre: "dc9", Owners: echoOwner{}, Parser: parser, BarrierWait: time.Second, Now: time.Now,
		NewIdempotencyKeys: func(svcdef.Service) front.IdempotencyKeys { return noIdempotencyKeys{} }, Logger: discardLogger{},
	})
	f.Configure(cat.Services())
	held := memoryInUse()
	body, err := revlog.EncodeSnapshot(cat)
	if err != nil {
		return nil, err
	}
	const changes = 50
	from := currentUsage()
	for i := range changes {
		spec := definition(i%n, callersPerService, verifier)
		spec.Timeout = time.Duration(i+1) * time.Second
		if cat, err = applyEncoded(cat, spec); err != nil {
			return nil, err
		}
		f.Configure(cat.Services())
	}
	to := currentUsage()
	changed := memoryInUse()
	for i := range svcdef.HistoryLimit {
		spec := definition(i%n, callersPerService, verifier)
		spec.Timeout = time.Duration(changes+i+1) * time.Second
		if cat, err = applyEncoded(cat, spec); err != nil {
			return nil, err
		}
		f.Configure(cat.Services())
	}
	full := memoryInUse()
	kept := len(cat.History(""))
	_, _ = f.Service(service)
	return []Value{
		{"heap", "KB", (held - before) / 1e3},
		{"snapshot", "KB", float64(len(body)) / 1e3},
		{"CPU of one change", "ms", float64(to.cpu-from.cpu) / 1e6 / changes},
		{"allocated by one change", "KB", float64(to.bytes-from.bytes) / 1e3 / changes},
		{"heap of one more revision", "KB", (changed - held) / 1e3 / changes},
		{"heap with all revisions kept", "KB", (full - before) / 1e3},
		{"revisions kept", "", float64(kept)},
	}, nil
}

// applyEncoded encodes and decodes a definition and returns the catalogue with it as the next revision.
func applyEncoded(c svcdef.Catalog, spec svcdef.Spec) (svcdef.Catalog, error) {
	body, err := revlog.Encode(svcdef.NewDefinition(spec, "lab", time.Unix(0, 0)).WithNumber(c.Revision()+1, "attempt"))
	if err != nil {
		return c, err
	}
	rev, err := revlog.Decode(body)
	if err != nil {
		return c, err
	}
	return c.Apply(rev)
}
