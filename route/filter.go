package route

import (
	"slices"

	"github.com/mangostage/mangostage/kernel"
)

const (
	filterAvailable kernel.ModuleID = NamespaceFilter + "available"
	filterExclude   kernel.ModuleID = NamespaceFilter + "exclude"
	filterFresh     kernel.ModuleID = NamespaceFilter + "fresh"
	filterModel     kernel.ModuleID = NamespaceFilter + "model"
)

func init() {
	kernel.Register(kernel.Module{ID: filterAvailable, New: func() any { return availableFilter{} }})
	kernel.Register(kernel.Module{ID: filterExclude, New: func() any { return excludeFilter{} }})
	kernel.Register(kernel.Module{ID: filterFresh, New: func() any { return freshFilter{} }})
	kernel.Register(kernel.Module{ID: filterModel, New: func() any { return modelFilter{} }})
}

// availableFilter drops endpoints that are leaving or down. Their agents would
// refuse the call, or take it and be unable to finish it.
type availableFilter struct{}

// Keep implements Filter.
func (availableFilter) Keep(_ *Query, e *Endpoint) bool {
	return e.available()
}

// excludeFilter drops endpoints that the request has already tried, unless they
// were lost and are back.
type excludeFilter struct{}

// Keep implements Filter.
func (excludeFilter) Keep(q *Query, e *Endpoint) bool {
	for _, t := range q.Request.Tried {
		if t.Endpoint == e.Name && !t.returned(e) {
			return false
		}
	}
	return true
}

// freshFilter drops endpoints that have not reported since the request lost
// others: they may have been lost together.
type freshFilter struct{}

// Keep implements Filter.
func (freshFilter) Keep(q *Query, e *Endpoint) bool {
	return q.Request.HeardSince.IsZero() || e.ReportedAt.After(q.Request.HeardSince)
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
