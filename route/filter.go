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

// availableFilter drops endpoints that are leaving, draining or down. Their
// agents would refuse the call, or accept it and fail to finish it.
type availableFilter struct{}

// Keep implements Filter.
func (availableFilter) Keep(_ *Query, e *Endpoint) bool {
	return e.available()
}

// excludeFilter drops endpoints to which the stage has already been sent,
// unless they were lost and have reported since.
type excludeFilter struct{}

// Keep implements Filter.
func (excludeFilter) Keep(q *Query, e *Endpoint) bool {
	for _, t := range q.Request.Tried {
		if t.Endpoint == e.Name && !t.reportedSinceLoss(e) {
			return false
		}
	}
	return true
}

// freshFilter drops endpoints that have not reported since the request lost
// others, because they may have been lost at the same time.
type freshFilter struct{}

// Keep implements Filter.
func (freshFilter) Keep(q *Query, e *Endpoint) bool {
	return q.Request.ReportedAfter.IsZero() || e.ReportedAt.After(q.Request.ReportedAfter)
}

// modelFilter drops endpoints that report models, but not the one needed. An
// endpoint that reports no models is kept: its agent refuses the call if the
// model is missing.
type modelFilter struct{}

// Keep implements Filter.
func (modelFilter) Keep(q *Query, e *Endpoint) bool {
	if q.Request.Model == "" || len(e.Report.Models) == 0 {
		return true
	}
	return slices.Contains(e.Report.Models, q.Request.Model)
}
