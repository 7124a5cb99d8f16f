package dispatch

// fitDecay is the factor by which the weight of earlier observations shrinks with each
// new one, so that the last hundred or so dominate.
const fitDecay = 0.99

// fitSpreadMin is the relative spread of x below which it counts as a rounding error.
const fitSpreadMin = 1e-6

// linearFit is a weighted linear regression of y on x over the latest observations.
type linearFit struct {
	n, x, x2, y, xy float64
}

// learn adds an observation of weight 1.
func (f *linearFit) learn(x, y float64) {
	for _, sum := range []*float64{&f.n, &f.x, &f.x2, &f.y, &f.xy} {
		*sum *= fitDecay
	}
	f.add(x, y, 1)
}

func (f *linearFit) add(x, y, weight float64) {
	f.n += weight
	f.x += weight * x
	f.x2 += weight * x * x
	f.y += weight * y
	f.xy += weight * x * y
}

// slope returns the change of y with x, or false if all x are nearly equal.
func (f *linearFit) slope() (float64, bool) {
	spread := f.n*f.x2 - f.x*f.x
	if spread <= fitSpreadMin*f.n*f.x2 {
		return 0, false
	}
	return (f.n*f.xy - f.x*f.y) / spread, true
}

// at0 returns y at x = 0 for a slope, at least 0.
func (f *linearFit) at0(slope float64) float64 { return max(0, (f.y-slope*f.x)/f.n) }
