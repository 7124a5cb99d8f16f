package configcheck

import "github.com/mangostage/mangostage/catalog"

// checkServices checks all services.
func (c *checker) checkServices() {
	used := c.usedServices()
	names := make(map[string]int)
	for i := range c.config.Services {
		s := &c.config.Services[i]
		place := Place{List: ListServices, Index: i, Name: s.Name}
		if c.checkName(names, place, "service") && !used[s.Name] {
			c.add(KindUnreachable, place.at(FieldName), "no route sends requests or stages to the service")
		}
		c.checkModel(s, place)
		c.checkBatch(s, place)
		c.checkCold(s, place)
	}
}

// usedServices returns the services to which routes send requests or stages.
func (c *checker) usedServices() map[string]bool {
	used := make(map[string]bool)
	for i := range c.config.Routes {
		for _, s := range c.config.Routes[i].Split {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
		for _, s := range c.config.Routes[i].Stages {
			used[s.Service] = true
		}
	}
	return used
}

// checkModel checks what a service says of its model engines.
func (c *checker) checkModel(s *catalog.Service, place Place) {
	if s.Model == nil {
		return
	}
	if s.Batch != nil {
		c.add(KindContradiction, place.at(FieldBatch), "a service has either model engines or endpoints that run stages")
	}
	if s.Model.Slots <= 0 {
		c.add(KindError, place.at(FieldSlots), "is not above 0")
	}
	if s.Model.CacheTokens <= 0 {
		c.add(KindError, place.at(FieldCacheTokens), "is not above 0")
	}
}

// checkBatch checks what a service says of the endpoints that run its stages.
func (c *checker) checkBatch(s *catalog.Service, place Place) {
	b := s.Batch
	if b == nil {
		return
	}
	if b.CallTime < 0 || b.ItemTime < 0 || b.Room < 0 || b.Queue < 0 || b.ResultTTL < 0 {
		c.add(KindError, place.at(FieldBatch), "has a negative value")
	}
	if shortest := b.CallTimeFor(1); b.ResultTTL > 0 && b.ResultTTL <= shortest {
		c.add(KindContradiction, place.at(FieldResultTTL), "a result is kept for %v, a call takes %v", b.ResultTTL, shortest)
	}
}

// checkCold checks the limits of endpoints that have just started.
func (c *checker) checkCold(s *catalog.Service, place Place) {
	switch {
	case s.ColdStart < 0:
		c.add(KindError, place.at(FieldColdStart), "is negative")
	case s.ColdRate < 0:
		c.add(KindError, place.at(FieldColdRate), "is negative")
	case s.ColdStart > 0 && s.ColdRate == 0:
		c.add(KindContradiction, place.at(FieldColdStart), "has no effect without a rate for cold endpoints")
	case s.ColdRate > 0 && s.ColdStart == 0:
		c.add(KindContradiction, place.at(FieldColdRate), "has no effect without a time for which endpoints are cold")
	}
}
