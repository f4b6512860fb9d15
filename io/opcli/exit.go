package opcli

import (
	"slices"

	"verbenagate/core/result"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitNotFound    = 5
	exitUnavailable = 6
	exitUnknown     = 7
)

// Exit documents an exit code.
type Exit struct {
	code    int
	meaning string
	results []result.Code
}

// Code returns the exit code.
func (e Exit) Code() int { return e.code }

// Meaning returns the sentence that the documentation shows.
func (e Exit) Meaning() string { return e.meaning }

// Results returns the result codes that lead to the exit code. There are none for the exit codes 0, 1 and 2.
func (e Exit) Results() []result.Code { return slices.Clone(e.results) }

var exitCodes = []Exit{
	{exitOK, "The command was carried out.", nil},
	{exitFailed, "The command failed for a reason without an exit code of its own; the message contains the result code.", nil},
	{exitUsage, "The command line is wrong; nothing was sent.", nil},
	{
		exitInvalid, "A settings file or a definition is not valid; every problem is listed and nothing was changed.",
		[]result.Code{result.InvalidConfig},
	},
	{
		exitConflict, "The change is not based on the current revision; nothing was changed.",
		[]result.Code{result.RevisionConflict},
	},
	{exitNotFound, "The service or VM does not exist.", []result.Code{result.NotFound}},
	{exitUnavailable, "The VM or the platform's store cannot be reached; nothing was changed.", []result.Code{
		result.StoreUnavailable, result.StoreOlder, result.ConnectFailed, result.PeerUnreachable, result.ShuttingDown,
	}},
	{exitUnknown, "The answer was lost, so it is not known whether the change was made; check the history before " +
		"repeating it.", []result.Code{result.AnswerLost}},
}

// Exits returns the documentation of all exit codes in ascending order.
func Exits() []Exit { return slices.Clone(exitCodes) }

func exitCode(err error) int {
	code := result.CodeOf(err)
	for _, e := range exitCodes {
		if slices.Contains(e.results, code) {
			return e.code
		}
	}
	return exitFailed
}
