package configcheck

import (
	"fmt"

	"github.com/mangostage/mangostage/catalog"
)

// checker collects the findings of one configuration.
type checker struct {
	config   *catalog.Config
	services map[string]*catalog.Service
	findings []Finding
}

func (c *checker) add(kind Kind, place Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Place: place, Message: fmt.Sprintf(format, args...)})
}

// checkName checks the name of an entry, and reports whether it is there and no entry
// before it has the same one. names maps the names before it to their positions, entry is
// what the entries of the list are called.
func (c *checker) checkName(names map[string]int, place Place, entry string) bool {
	if place.Name == "" {
		c.add(KindError, place.at(FieldName), "is missing")
		return false
	}
	if first, ok := names[place.Name]; ok {
		c.add(KindError, place.at(FieldName), "is also that of the %s at position %d", entry, first)
		return false
	}
	names[place.Name] = place.Index
	return true
}

// Check returns the findings of a configuration, in the order of its entries.
func Check(config *catalog.Config) []Finding {
	c := &checker{config: config, services: make(map[string]*catalog.Service, len(config.Services))}
	for i := range config.Services {
		s := &config.Services[i]
		if c.services[s.Name] == nil {
			c.services[s.Name] = s
		}
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return c.findings
}

// checkLimits checks the limits on what clients may send.
func (c *checker) checkLimits() {
	limits := c.config.Limits
	for _, f := range []struct {
		field    Field
		negative bool
	}{
		{FieldHeaderBytes, limits.HeaderBytes < 0},
		{FieldBodyBytes, limits.BodyBytes < 0},
		{FieldHeaderTimeout, limits.HeaderTimeout < 0},
		{FieldIdleTimeout, limits.IdleTimeout < 0},
	} {
		if f.negative {
			c.add(KindError, limitPlace(f.field), "is negative")
		}
	}
}

// limitPlace returns the place of a limit on what clients may send.
func limitPlace(f Field) Place { return Place{List: ListLimits, Index: -1, Field: f} }
