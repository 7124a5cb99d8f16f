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

// plottable is a result that can be written as a plot in PNG format.
type plottable interface {
	WritePlot(out io.Writer) error
}

// plotPath returns the file for the plot of a scenario; with several scenarios
// its name contains that of the scenario.
func (l *loadArguments) plotPath(scenario string) string {
	if len(l.Scenarios) == 1 {
		return l.Plot
	}
	extension := filepath.Ext(l.Plot)
	return strings.TrimSuffix(l.Plot, extension) + "-" + scenario + extension
}

// checkPlots checks that all plots can be written, before the runs, which may
// take long.
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

// checkPlot checks that a plot can be written to path.
func checkPlot(path string) error {
	if !strings.EqualFold(filepath.Ext(path), plotExtension) {
		return fmt.Errorf("--plot: %q does not end in %s", path, plotExtension)
	}
	if err := checkWritable(path); err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	return nil
}

// checkWritable checks that path can be opened for writing. It does not change an
// existing file and removes the file if it has created it.
func checkWritable(path string) error {
	_, statErr := os.Lstat(path)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, plotMode)
	if err != nil {
		return err
	}
	err = file.Close()
	if errors.Is(statErr, os.ErrNotExist) {
		err = errors.Join(err, os.Remove(path))
	}
	return err
}

// plot writes the plot of a scenario, if one is requested.
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
