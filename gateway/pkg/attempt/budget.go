package attempt

// Cause is the cause of a retry.
type Cause uint8

// Causes of retries.
const (
	// CauseRefused is a refusal of a request that was not run: a sign of overload.
	CauseRefused Cause = iota + 1
	// CauseFailed is a failure of an endpoint or of the connection to it.
	CauseFailed
)

// refusedCost is the cost of a retry after a refusal. During an overload such a retry is mostly
// refused again, so these retries may add half as much load as retries after failures.
const refusedCost = 2

// BudgetConfig describes a retry budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries that the budget accumulates.
	Burst float64
	// RefusedBurst is the part of the burst that retries after refusals may spend.
	RefusedBurst float64
}

// Budget limits the retries of one gateway to a share of its requests. Without it, each refusal
// by an overloaded fleet would add load, and the overload would outlast its cause. It is not
// safe for concurrent use.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: config.Burst}
}

// Earn adds the retries that one request earns.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Spend takes one retry from the budget and reports whether it is allowed. Refusals can't spend
// the part reserved for failures: when an endpoint dies during an overload, its requests must
// still be retried.
func (b *Budget) Spend(cause Cause) bool {
	cost, minLevel := 1.0, 0.0
	if cause == CauseRefused {
		cost, minLevel = refusedCost, b.config.Burst-b.config.RefusedBurst
	}
	if b.tokens-cost < minLevel {
		return false
	}
	b.tokens -= cost
	return true
}
