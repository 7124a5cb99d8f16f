package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/mangostage/mangostage/load"
)

const (
	plotExtension = ".png"
	plotMode      = 0o644
)

// plottable is what can be drawn.
type plottable interface {
	WritePlot(out io.Writer) error
}

// plotPath is where the picture of a scenario goes; the scenario is part of
// the name if there are several.
func (l *loadArguments) plotPath(scenario string) string {
	if len(l.Scenarios) == 1 {
		return l.Plot
	}
	extension := filepath.Ext(l.Plot)
	return strings.TrimSuffix(l.Plot, extension) + "-" + scenario + extension
}

// checkPlots finds out before the runs, which may take long, whether their
// pictures can be written.
func (l *loadArguments) checkPlots(configs []load.Config) error {
	if l.Plot == "" {
		return nil
	}
	seen := make(map[string]bool)
	for _, cfg := range configs {
		path := l.plotPath(cfg.Scenario.Name)
		if seen[path] {
			return fmt.Errorf("--plot: two runs of %s would both write %s", cfg.Scenario.Name, path)
		}
		seen[path] = true
		if err := checkPlot(path); err != nil {
			return err
		}
	}
	return nil
}

// checkPlot finds out whether a picture can be written to a file.
func checkPlot(path string) error {
	if !strings.EqualFold(filepath.Ext(path), plotExtension) {
		return fmt.Errorf("--plot: %q does not end in %s", path, plotExtension)
	}
	if err := checkWritable(path); err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	return nil
}

// checkWritable leaves an existing file as it is, and no new one behind.
func checkWritable(path string) error {
	_, missing := os.Lstat(path)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, plotMode)
	if err != nil {
		return err
	}
	err = file.Close()
	if errors.Is(missing, os.ErrNotExist) {
		err = errors.Join(err, os.Remove(path))
	}
	return err
}

// plot writes the picture of a scenario, if one is wanted.
func (l *loadArguments) plot(scenario string, result plottable) error {
	if l.Plot == "" {
		return nil
	}
	return writePlot(l.plotPath(scenario), result)
}

func writePlot(path string, result plottable) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, plotMode)
	if err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	if err := errors.Join(result.WritePlot(file), file.Close()); err != nil {
		return fmt.Errorf("--plot: %s: %w", file.Name(), err)
	}
	return nil
}
