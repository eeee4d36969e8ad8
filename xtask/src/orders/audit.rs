//! Compares the outcomes that callers were told with the targets' ledger of executions.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{
    caller::{FinalOutcome, Policy},
    fault::{self, Fault},
    load,
};

/// Numbers of orders of one run, by outcome and by contradiction to the ledger.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// All orders.
    pub orders_count: u32,
    /// Orders whose caller was told that they ran.
    pub ran_count: u32,
    /// Orders whose caller was told that they did not run.
    pub not_run_count: u32,
    /// Orders whose caller could not learn whether they ran.
    pub unknown_count: u32,
    /// Orders that were executed more than once.
    pub doubled_count: u32,
    /// Orders that were executed although their caller was told that they did not run.
    pub false_not_run_count: u32,
    /// Orders that were not executed although their caller was told that they ran.
    pub false_ran_count: u32,
}

/// Counts the orders by outcome; `outcomes` has the number of each order, `ledger` the executions.
pub fn compare(outcomes: &[(u32, FinalOutcome)], ledger: &Value) -> OutcomeCounts {
    let mut executions: BTreeMap<&str, u32> = BTreeMap::new();
    for execution in ledger["executions"].as_array().into_iter().flatten() {
        let body = execution["body"].as_str().unwrap_or_default();
        *executions.entry(body).or_default() += 1;
    }
    let mut counts = OutcomeCounts::default();
    for &(number, outcome) in outcomes {
        let executions_count = executions.get(load::order_body(number).as_str()).copied();
        let executions_count = executions_count.unwrap_or(0);
        counts.orders_count += 1;
        counts.doubled_count += u32::from(executions_count > 1);
        match outcome {
            FinalOutcome::Ran => {
                counts.ran_count += 1;
                counts.false_ran_count += u32::from(executions_count == 0);
            }
            FinalOutcome::NotRun => {
                counts.not_run_count += 1;
                counts.false_not_run_count += u32::from(executions_count > 0);
            }
            FinalOutcome::Unknown => counts.unknown_count += 1,
        }
    }
    counts
}

/// Returns whether orders were sent, none ran twice and no outcome contradicts the ledger.
pub fn is_consistent(counts: &OutcomeCounts) -> bool {
    counts.doubled_count + counts.false_not_run_count + counts.false_ran_count == 0
        && counts.orders_count > 0
}

/// Returns the header of the Markdown table.
pub fn header() -> String {
    "| callers | fault | orders | ran | not run | unknown | doubled | false not run | false ran |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        .to_owned()
}

/// Returns one row of the Markdown table.
pub fn row(policy: Policy, fault: Fault, counts: &OutcomeCounts) -> String {
    let callers = match policy {
        Policy::Tier => "tier",
        Policy::Naive => "naive",
    };
    let share = |count: u32| {
        let ratio = f64::from(count) / f64::from(counts.orders_count.max(1));
        format!("{count} ({:.2}%)", ratio * 100.0)
    };
    format!(
        "| {callers} | {} | {} | {} | {} | {} | {} | {} | {} |",
        fault::name(fault),
        counts.orders_count,
        share(counts.ran_count),
        share(counts.not_run_count),
        share(counts.unknown_count),
        counts.doubled_count,
        counts.false_not_run_count,
        counts.false_ran_count,
    )
}
