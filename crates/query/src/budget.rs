//! Budgets of calls beyond the first one of each shard.

use serde::Serialize;

/// Calls that a budget can save up, so that a burst after a quiet time stays small.
const SAVED_MAX_COUNT: f64 = 10.0;

/// A budget that each primary call fills a little and each extra call empties by one.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Budget {
    /// Extra calls allowed per primary call, 0 to 1.
    pub per_primary_ratio: f64,
    /// Extra calls saved up.
    pub saved_count: f64,
}

/// The budgets of an instance.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Budgets {
    /// Calls sent because another one is late.
    pub hedges: Budget,
    /// Calls sent because another one failed.
    pub retries: Budget,
}

/// Returns full budgets for the given settings.
pub fn open(settings: &settings::Query) -> Budgets {
    let full = |per_primary_ratio: f64| Budget {
        per_primary_ratio,
        saved_count: if per_primary_ratio > 0.0 {
            SAVED_MAX_COUNT
        } else {
            0.0
        },
    };
    Budgets {
        hedges: full(settings.hedge_budget_ratio),
        retries: full(settings.retry_budget_ratio),
    }
}

/// Fills the budgets for one primary call.
pub(crate) fn earn(budgets: &mut Budgets) {
    for budget in [&mut budgets.hedges, &mut budgets.retries] {
        let saved_count = budget.saved_count + budget.per_primary_ratio;
        budget.saved_count = saved_count.min(SAVED_MAX_COUNT);
    }
}

/// Takes one extra call out of a budget, if it allows one.
pub(crate) fn spend(budget: &mut Budget) -> bool {
    if budget.saved_count < 1.0 {
        return false;
    }
    budget.saved_count -= 1.0;
    true
}
