package opcli

import (
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Command documents one command.
type Command struct {
	usage string
	help  string
	args  []Flag
	flags []Flag
}

// Usage returns the command line with the required flags and the arguments.
func (c Command) Usage() string { return c.usage }

// Help returns what the command does.
func (c Command) Help() string { return c.help }

// Args returns the positional arguments.
func (c Command) Args() []Flag { return slices.Clone(c.args) }

// Flags returns the flags of the command, without those that all commands take.
func (c Command) Flags() []Flag { return slices.Clone(c.flags) }

// Flag documents a flag or argument.
type Flag struct {
	name         string
	defaultValue string
	envs         []string
	help         string
}

// Name returns the name as shown in the documentation; for a flag with its short form, dashes and placeholder.
func (f Flag) Name() string { return f.name }

// Default returns the default value, "" if there is none.
func (f Flag) Default() string { return f.defaultValue }

// Envs returns the environment variables that set the flag. The first one that is set applies.
func (f Flag) Envs() []string { return slices.Clone(f.envs) }

// Help returns what the flag does.
func (f Flag) Help() string { return f.help }

// Commands returns the documentation of all commands and of the flags that all of them take.
func Commands() ([]Command, []Flag, error) {
	var g grammar
	parser, err := New(io.Discard, io.Discard, nil).parser(&g)
	if err != nil {
		return nil, nil, err
	}
	var commands []Command
	for _, leaf := range parser.Model.Leaves(true) {
		c := Command{usage: Name + " " + leaf.Path(), help: leaf.Help}
		for _, f := range leaf.Flags {
			c.flags = append(c.flags, newFlag(f))
			if f.Required {
				c.usage += " --" + f.Name + "=" + f.PlaceHolder
			}
		}
		for _, p := range leaf.Positional {
			c.usage += " " + p.Summary()
			c.args = append(c.args, Flag{name: p.Summary(), help: p.Help})
		}
		commands = append(commands, c)
	}
	var common []Flag
	for _, f := range parser.Model.Flags {
		if f.Name != "help" {
			common = append(common, newFlag(f))
		}
	}
	return commands, common, nil
}

func newFlag(f *kong.Flag) Flag {
	name := "--" + f.Name
	if f.Short != 0 {
		name = "-" + string(f.Short) + ", " + name
	}
	if !f.IsBool() {
		placeholder := f.PlaceHolder
		if placeholder == "" {
			placeholder = strings.ToUpper(f.Name)
		}
		name += "=" + placeholder
	}
	return Flag{name: name, defaultValue: f.Default, envs: f.Envs, help: f.Help}
}
