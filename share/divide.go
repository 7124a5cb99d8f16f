package share

import (
	"cmp"
	"slices"
)

// Claim is one account's demand for room, and the part that Divide gave it.
type Claim struct {
	// Weight is the claim's relative part; it is above 0.
	Weight float64
	// Rank orders claims; lower ranks get room first.
	Rank int
	// Demand is how much room the account asks for, in the unit of the room.
	Demand float64
	// Part is how much of it the latest division gave.
	Part float64
	// Even is what the claim would have got of the whole room if all of its rank had asked
	// for more than there is.
	Even float64
}

// Held reports whether the claim got less than it asked for.
func (c *Claim) Held() bool { return c.Part < c.Demand }

// Divide sets the part of each claim and reorders the claims. Lower ranks come first,
// and each leaves the fraction reserve of what is left to the later ones. Within a
// rank the division is max-min fair by weight: what a claim does not ask for goes to
// the others.
func Divide(claims []*Claim, room, reserve float64) {
	slices.SortFunc(claims, func(a, b *Claim) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight))
	})
	whole := room
	for first := 0; first < len(claims); {
		next := endOfRank(claims, first)
		setEven(claims[first:next], whole)
		usable := room
		if next < len(claims) {
			usable *= 1 - reserve
		}
		room -= divideRank(claims[first:next], usable)
		first = next
	}
}

// setEven sets the even parts of claims of one rank.
func setEven(claims []*Claim, room float64) {
	weight := weightOf(claims)
	for _, c := range claims {
		c.Even = room * c.Weight / weight
	}
}

func weightOf(claims []*Claim) float64 {
	sum := 0.0
	for _, c := range claims {
		sum += c.Weight
	}
	return sum
}

// endOfRank returns the index after the last claim of the rank that begins at first.
func endOfRank(claims []*Claim, first int) int {
	next := first + 1
	for next < len(claims) && claims[next].Rank == claims[first].Rank {
		next++
	}
	return next
}

// divideRank divides room among claims of one rank, sorted by demand per weight, and
// returns how much was given. Those that want less than their part come first, and
// what they leave goes to the rest.
func divideRank(claims []*Claim, room float64) float64 {
	weight, given := weightOf(claims), 0.0
	for _, c := range claims {
		c.Part = min(c.Demand, max(0, room-given)*c.Weight/weight)
		given += c.Part
		weight -= c.Weight
	}
	return given
}
