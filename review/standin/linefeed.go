package main

import (
	"fmt"
	"strings"
	"time"
)

// lineFeed sends messages whose last field contains a line feed. A message ends with CR LF, and its last field extends to that end.
func lineFeed(rec *recorder, trouble bool) ([]string, error) {
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
	lineBreak := " "
	if trouble {
		lineBreak = "\n"
	}
	sent := make(map[string]string)
	send := func(name, text string) error {
		c, err := dial(rec, name, w.vms[0].callers, "dues")
		if err != nil {
			return err
		}
		defer c.bye()
		id := newID()
		sent[id] = text
		_, _ = c.queryAs(id, text) // An error, or the end of the connection, is a permitted answer to such a message.
		return nil
	}
	hidden := newID()
	for name, text := range map[string]string{
		"member":  "WRITE balance-17 120",
		"clerk":   "WRITE note-17 paid in cash" + lineBreak + "on 5 December",
		"visitor": "WRITE note-18 hello" + lineBreak + "QUERY " + hidden + " WRITE balance-17 0",
	} {
		if err := send(name, text); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	var breaches []string
	for _, r := range w.group.snapshot() {
		text, known := sent[r.id]
		rec.printf("server %s ran %s %q", r.server, r.id, r.text)
		switch {
		case !known:
			breaches = append(breaches, fmt.Sprintf("UNASKED: a server ran %s %q, an id that no client sent", r.id, r.text))
		case !strings.HasSuffix(r.text, text):
			breaches = append(breaches, fmt.Sprintf("UNASKED: a server ran %s as %q; the client sent %q", r.id, r.text, text))
		}
	}
	return breaches, nil
}
