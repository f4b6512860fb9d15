package main

import (
	"fmt"
	"time"
)

// valuesAtCommit sets a session value inside a transaction, after its last read or write, and commits. Each statement that a server
// runs must run with the values that were acknowledged to the client before it.
func valuesAtCommit(rec *recorder, trouble bool) ([]string, error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w, err := newWorld(rec, zones, 0, []route{{"dues", "primary", time.Second}})
	if err != nil {
		return nil, err
	}
	defer w.close()
	if _, err := w.addVM("vm-0", zones[0]); err != nil {
		return nil, err
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	c, err := dial(rec, "clerk", w.vms[0].callers, "dues")
	if err != nil {
		return nil, err
	}
	defer c.bye()
	texts := []string{"SET author clerk-1", "BEGIN", "WRITE balance-17 120", "SET author clerk-2", "COMMIT", "READ balance-17"}
	if !trouble {
		texts = append(texts[:3:3], texts[4:]...)
	}
	acknowledged, expected := "", make(map[string]string)
	for _, text := range texts {
		id := newID()
		expected[id] = acknowledged
		a, err := c.queryAs(id, text)
		if err != nil || !a.ok() {
			return nil, fmt.Errorf("%s was answered %s, %w", text, a, err)
		}
		var value string
		if n, _ := fmt.Sscanf(text, "SET author %s", &value); n == 1 {
			acknowledged = "author=" + value
		}
	}
	var breaches []string
	for _, r := range w.group.snapshot() {
		rec.printf("server %s ran %s %q with the session values %q", r.server, r.id, r.text, r.values)
		if want, known := expected[r.id]; known && r.values != want {
			breaches = append(breaches, fmt.Sprintf("PINNED: %s ran with the session values %q; %q was acknowledged to the client", r.text,
				r.values, want))
		}
	}
	return breaches, nil
}
