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

// journal is a directory with a table of runs for each kind of run, and the logs of these.
type journal struct {
	dir   string // below the module
	kind  string
	title string
	// commit is that of the module.
	commit string
	begin  time.Time
}

// openJournal notes the commit under test.
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
	return &journal{dir: dir, kind: kind, title: title, commit: commit, begin: now}, nil
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

// add writes the log of a run and its line in the table.
func (j *journal) add(seed, length, verdict, log string) error {
	stamp := j.begin.UTC()
	name := fmt.Sprintf("%s-%s.log", j.kind, stamp.Format("20060102T150405Z"))
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
		stamp.Format("2006-01-02 15:04:05"), j.commit, seed, length, verdict, name)
	return err
}
