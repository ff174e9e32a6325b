package attempt

// Cause says why a retry is wanted.
type Cause uint8

// Causes of retries.
const (
	// CauseRefused is a refusal that says not run: a sign of overload.
	CauseRefused Cause = iota + 1
	// CauseFailed is a failure of an endpoint or of the way to it.
	CauseFailed
)

// refusedCost is what a retry after a refusal takes of the budget. In an
// overload such a retry is mostly refused again, so it may make up half as much
// of the load as retries after failures.
const refusedCost = 2

// BudgetConfig describes a retry budget.
type BudgetConfig struct {
	// Ratio is what each request earns, in retries.
	Ratio float64
	// Burst is the most retries saved up.
	Burst float64
	// RefusedBurst is the part of the burst that refusals may spend.
	RefusedBurst float64
}

// Budget bounds the retries of one gateway to a share of its requests. Without
// it each refusal of an overloaded fleet would bring more load, and the
// overload would outlast its cause. It is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	level  float64
}

// NewBudget makes a budget that starts full.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, level: config.Burst}
}

// Earn notes one request.
func (b *Budget) Earn() {
	b.level = min(b.level+b.config.Ratio, b.config.Burst)
}

// Spend takes one retry, or returns false. Refusals may not touch the part kept
// for failures: an endpoint's death in the middle of an overload must still be
// survived by the requests that it had.
func (b *Budget) Spend(cause Cause) bool {
	cost, floor := 1.0, 0.0
	if cause == CauseRefused {
		cost, floor = refusedCost, b.config.Burst-b.config.RefusedBurst
	}
	if b.level-cost < floor {
		return false
	}
	b.level -= cost
	return true
}
