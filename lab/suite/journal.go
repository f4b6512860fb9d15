package suite

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// journal writes one kind of run to a directory, which holds a table of runs for each kind and a log file for each run.
type journal struct {
	dir   string // includes the path of the module
	kind  string
	title string
	// commit is the abbreviated commit hash of the module, with a note if tracked files have changes.
	commit    string
	startTime time.Time
}

// openJournal creates the directory of the journal and looks up the commit under test.
func openJournal(ctx context.Context, module, dir, kind, title string, now time.Time) (*journal, error) {
	commit, err := gitOutput(ctx, module, "rev-parse", "--short", "HEAD")
	if err != nil {
		return nil, err
	}
	changes, err := gitOutput(ctx, module, "status", "--porcelain", "--untracked-files=no")
	if err != nil {
		return nil, err
	}
	if changes != "" {
		commit += " with changes"
	}
	dir = filepath.Join(module, dir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return &journal{dir: dir, kind: kind, title: title, commit: commit, startTime: now}, nil
}

func gitOutput(ctx context.Context, dir string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, "git", args...)
	cmd.Dir = dir
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("git %s: %w", args[0], err)
	}
	return strings.TrimSpace(string(out)), nil
}

// add writes the log file of a run and appends a line to the table.
func (j *journal) add(seed, length, verdict, log string) error {
	startUTC := j.startTime.UTC()
	name := fmt.Sprintf("%s-%s.log", j.kind, startUTC.Format("20060102T150405Z"))
	if err := os.WriteFile(filepath.Join(j.dir, name), []byte(log), 0o644); err != nil {
		return err
	}
	table := filepath.Join(j.dir, j.kind+".md")
	f, err := os.OpenFile(table, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if st, err := f.Stat(); err == nil && st.Size() == 0 {
		fmt.Fprintf(f, "# %s\n\n| begin (UTC) | commit | seed | length | verdict | log |\n|---|---|---|---|---|---|\n", j.title)
	}
	_, err = fmt.Fprintf(f, "| %s | %s | %s | %s | %s | [log](%s) |\n",
		startUTC.Format("2006-01-02 15:04:05"), j.commit, seed, length, verdict, name)
	return err
}
