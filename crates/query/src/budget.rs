//! Budgets of the hedged and retried calls, as token buckets that primary calls refill.

use serde::Serialize;

/// Capacity of a budget in calls, which bounds a burst of extra calls after a quiet period.
const BURST_MAX_COUNT: f64 = 10.0;

/// A budget of extra calls: a primary call adds `per_primary_ratio` to it, an extra call takes 1.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Budget {
    /// Extra calls permitted per primary call, 0 to 1.
    pub per_primary_ratio: f64,
    /// Extra calls available at present, a fraction included.
    #[serde(rename = "saved_count")]
    pub available_count: f64,
}

/// The budgets of an instance.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Budgets {
    /// Budget of hedged calls.
    pub hedges: Budget,
    /// Budget of retries of idempotent calls that were shed, or that failed and may have been
    /// executed.
    pub retries: Budget,
}

/// Returns full budgets with the ratios of the settings.
pub fn new_budgets(settings: &settings::Query) -> Budgets {
    let full = |per_primary_ratio: f64| Budget {
        per_primary_ratio,
        available_count: if per_primary_ratio > 0.0 {
            BURST_MAX_COUNT
        } else {
            0.0
        },
    };
    Budgets {
        hedges: full(settings.hedge_budget_ratio),
        retries: full(settings.retry_budget_ratio),
    }
}

/// Refills both budgets for one primary call.
pub(crate) fn refill(budgets: &mut Budgets) {
    for budget in [&mut budgets.hedges, &mut budgets.retries] {
        let available_count = budget.available_count + budget.per_primary_ratio;
        budget.available_count = available_count.min(BURST_MAX_COUNT);
    }
}

/// Takes one extra call out of a budget; returns `false` if less than one is available.
pub(crate) fn try_spend(budget: &mut Budget) -> bool {
    if budget.available_count < 1.0 {
        return false;
    }
    budget.available_count -= 1.0;
    true
}
