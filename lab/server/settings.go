package server

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (c *session) restoreSettings() {
	if c.explicit && c.before != nil {
		c.settings, c.before = c.before, nil
	}
}

// settingName returns the lower-case name that SHOW, SET and RESET refer to.
func settingName(toks []token) string {
	text := strings.ToLower(strings.ReplaceAll(render(toks), `"`, ""))
	switch text {
	case "time zone":
		return "timezone"
	case "transaction isolation level":
		return "transaction_isolation"
	}
	return text
}

func (c *session) setting(name string) (string, bool) {
	if v, ok := c.local[name]; ok {
		return v, true
	}
	v, ok := c.settings[name]
	return v, ok
}

func (c *session) assign(toks []token) error {
	local := len(toks) > 0 && toks[0].is("local")
	if len(toks) > 1 && (local || toks[0].is("session")) {
		toks = toks[1:]
	}
	if len(toks) > 0 && (toks[0].is("transaction") || toks[0].is("characteristics")) {
		return nil
	}
	at := -1
	for i, t := range toks {
		if t.is("=") || t.is("to") {
			at = i
			break
		}
	}
	name, value := "", []token(nil)
	switch {
	case at > 0 && at+1 < len(toks):
		name, value = settingName(toks[:at]), toks[at+1:]
	case len(toks) == 3 && toks[0].is("time") && toks[1].is("zone"):
		name, value = "timezone", toks[2:]
	default:
		return newError("42601", "syntax error in SET")
	}
	if value[0].is("default") {
		c.reset(name)
		return nil
	}
	text := strings.ReplaceAll(render(value), "'", "")
	if local {
		if c.explicit {
			c.local[name] = text
		}
		return nil
	}
	c.settings[name] = text
	c.report(name)
	return nil
}

func (c *session) report(name string) {
	if wire, ok := reported[name]; ok {
		c.be.Send(&pgproto3.ParameterStatus{Name: wire, Value: c.settings[name]})
	}
}

func (c *session) reset(name string) {
	initial := defaultSettings()
	if name == "all" {
		c.settings = initial
		return
	}
	if v, ok := initial[name]; ok {
		c.settings[name] = v
		c.report(name)
		return
	}
	delete(c.settings, name)
}
