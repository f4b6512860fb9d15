package server

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (c *session) restoreSettings() {
	if c.inTransactionBlock && c.settingsBeforeTx != nil {
		c.settings, c.settingsBeforeTx = c.settingsBeforeTx, nil
	}
}

// settingName returns the lower-case name of the setting that SHOW, SET or RESET refers to.
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

func (c *session) settingValue(name string) (string, bool) {
	if v, ok := c.localSettings[name]; ok {
		return v, true
	}
	v, ok := c.settings[name]
	return v, ok
}

func (c *session) assignSetting(toks []token) error {
	local := len(toks) > 0 && toks[0].is("local")
	if len(toks) > 1 && (local || toks[0].is("session")) {
		toks = toks[1:]
	}
	if len(toks) > 0 && (toks[0].is("transaction") || toks[0].is("characteristics")) {
		return nil
	}
	separator := -1
	for i, t := range toks {
		if t.is("=") || t.is("to") {
			separator = i
			break
		}
	}
	name, value := "", []token(nil)
	switch {
	case separator > 0 && separator+1 < len(toks):
		name, value = settingName(toks[:separator]), toks[separator+1:]
	case len(toks) == 3 && toks[0].is("time") && toks[1].is("zone"):
		name, value = "timezone", toks[2:]
	default:
		return newError("42601", "syntax error in SET")
	}
	if value[0].is("default") {
		c.resetSetting(name)
		return nil
	}
	text := strings.ReplaceAll(render(value), "'", "")
	if local {
		if c.inTransactionBlock {
			c.localSettings[name] = text
		}
		return nil
	}
	c.settings[name] = text
	c.reportSetting(name)
	return nil
}

func (c *session) reportSetting(name string) {
	if reportedName, ok := reportedSettings[name]; ok {
		c.be.Send(&pgproto3.ParameterStatus{Name: reportedName, Value: c.settings[name]})
	}
}

func (c *session) resetSetting(name string) {
	defaults := defaultSettings()
	if name == "all" {
		c.settings = defaults
		return
	}
	if v, ok := defaults[name]; ok {
		c.settings[name] = v
		c.reportSetting(name)
		return
	}
	delete(c.settings, name)
}
