// Package maxmin divides a capacity by weighted max-min fairness: a claim below its share gets what it asks for, and what
// it leaves is divided among the others. It is designed for the slots of a service and some thousand teams. The package
// uses no goroutine, socket or clock.
package maxmin

import "math"

// minRelativeWeight is the least weight above 0 that is told apart, relative to the largest weight. It keeps sums and
// quotients of weights finite.
const minRelativeWeight = 1e-9

// Claim is the demand of a team, or of several teams together, with their weight.
type Claim struct{ Weight, Demand float64 }

// Level divides a capacity among teams by weighted max-min fairness. The zero value gives no team a share.
type Level struct {
	// scale is the largest weight. level is the number of slots per relative weight, which is the weight divided by
	// scale; it is infinite if no team with a weight above 0 is short of slots. rest is the share of each team with
	// weight 0, infinite if no team is short of slots.
	scale, level, rest float64
}

// Unlimited is the level at which no team is short of slots.
func Unlimited() Level { return Level{scale: 1, level: math.Inf(1), rest: math.Inf(1)} }

// Divide returns the level at which the capacity is used up. It changes and reorders the claims.
func Divide(capacity float64, claims []Claim) Level {
	l := Level{level: math.Inf(1)}
	for _, c := range claims {
		l.scale = max(l.scale, c.Weight)
	}
	weighted := 0
	for i, c := range claims {
		if c.Weight = l.relative(c.Weight); c.Weight > 0 {
			claims[i] = claims[weighted]
			claims[weighted] = c
			weighted++
		} else {
			// Teams with weight 0 divide equally what nobody else asks for.
			claims[i].Weight = 1
		}
	}
	remaining := capacity
	if l.level, remaining = fill(remaining, claims[:weighted]); math.IsInf(l.level, 1) {
		l.rest, _ = fill(remaining, claims[weighted:])
	}
	return l
}

// fill returns the level at which claims use up the capacity, infinite if they don't, and the unused capacity. Each
// pass meets the claims below the present level, which raises the level for the others.
func fill(capacity float64, claims []Claim) (level, remaining float64) {
	for len(claims) > 0 {
		total := 0.0
		for _, c := range claims {
			total += c.Weight
		}
		level = capacity / total
		unmet := claims[:0]
		for _, c := range claims {
			if c.Demand > level*c.Weight {
				unmet = append(unmet, c)
			} else {
				capacity = max(capacity-c.Demand, 0)
			}
		}
		if len(unmet) == len(claims) {
			return level, 0
		}
		claims = unmet
	}
	return math.Inf(1), capacity
}

// Limited reports whether some team is short of slots.
func (l Level) Limited() bool { return !math.IsInf(l.rest, 1) }

// Share returns the number of slots that a team with the given weight may use. It is infinite if no team is short of
// slots, or only teams with weight 0 are and this one has more.
func (l Level) Share(weight float64) float64 {
	if weight <= 0 {
		return l.rest
	}
	return l.relative(weight) * l.level
}

// relative returns a weight relative to the largest one, 0 for a weight of 0.
func (l Level) relative(weight float64) float64 {
	if !(weight > 0) || l.scale <= 0 {
		return 0
	}
	return max(weight/l.scale, minRelativeWeight)
}

// FiniteWeight returns a weight received from another process, limited to valid values.
func FiniteWeight(weight float64) float64 {
	if !(weight > 0) {
		return 0
	}
	return min(weight, math.MaxFloat64)
}
