package route

import (
	"slices"

	"github.com/mangostage/mangostage/kernel"
)

const (
	filterAvailable kernel.ModuleID = NamespaceFilter + "available"
	filterExclude   kernel.ModuleID = NamespaceFilter + "exclude"
	filterModel     kernel.ModuleID = NamespaceFilter + "model"
)

func init() {
	kernel.Register(kernel.Module{ID: filterAvailable, New: func() any { return availableFilter{} }})
	kernel.Register(kernel.Module{ID: filterExclude, New: func() any { return excludeFilter{} }})
	kernel.Register(kernel.Module{ID: filterModel, New: func() any { return modelFilter{} }})
}

// availableFilter drops endpoints that are leaving or down. Their agents would
// refuse the call, or take it and be unable to finish it.
type availableFilter struct{}

// Keep implements Filter.
func (availableFilter) Keep(_ *Query, e *Endpoint) bool {
	return e.available()
}

// excludeFilter drops endpoints that the request has already tried.
type excludeFilter struct{}

// Keep implements Filter.
func (excludeFilter) Keep(q *Query, e *Endpoint) bool {
	return len(q.Request.Exclude) == 0 || !slices.Contains(q.Request.Exclude, e.Name)
}

// modelFilter drops endpoints that report other models than the one needed.
// An endpoint that has reported none is kept: its agent will refuse if need be.
type modelFilter struct{}

// Keep implements Filter.
func (modelFilter) Keep(q *Query, e *Endpoint) bool {
	if q.Request.Model == "" || len(e.Report.Models) == 0 {
		return true
	}
	return slices.Contains(e.Report.Models, q.Request.Model)
}
