//! The callers' ends of orders against the targets' ledger.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{
    caller::{End, Policy},
    fault::{self, Fault},
    load,
};

/// What became of all orders of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Verdict {
    /// Orders.
    pub orders_count: u32,
    /// Orders whose caller was told that they ran.
    pub ran_count: u32,
    /// Orders whose caller was told that they did not run.
    pub not_run_count: u32,
    /// Orders whose caller does not know.
    pub unknown_count: u32,
    /// Orders that were executed more than once.
    pub doubled_count: u32,
    /// Orders that were executed although their caller was told that they did not run.
    pub false_not_run_count: u32,
    /// Orders that were not executed although their caller was told that they ran.
    pub false_ran_count: u32,
}

/// Compares what callers were told with what the targets recorded.
pub fn judge(ends: &[(u32, End)], ledger: &Value) -> Verdict {
    let mut executions: BTreeMap<&str, u32> = BTreeMap::new();
    for execution in ledger["executions"].as_array().into_iter().flatten() {
        let body = execution["body"].as_str().unwrap_or_default();
        *executions.entry(body).or_default() += 1;
    }
    let mut verdict = Verdict::default();
    for &(number, end) in ends {
        let executions_count = executions.get(load::body(number).as_str()).copied();
        let executions_count = executions_count.unwrap_or(0);
        verdict.orders_count += 1;
        verdict.doubled_count += u32::from(executions_count > 1);
        match end {
            End::Ran => {
                verdict.ran_count += 1;
                verdict.false_ran_count += u32::from(executions_count == 0);
            }
            End::NotRun => {
                verdict.not_run_count += 1;
                verdict.false_not_run_count += u32::from(executions_count > 0);
            }
            End::Unknown => verdict.unknown_count += 1,
        }
    }
    verdict
}

/// Tells whether every promise was kept.
pub fn is_kept(verdict: &Verdict) -> bool {
    verdict.doubled_count + verdict.false_not_run_count + verdict.false_ran_count == 0
        && verdict.orders_count > 0
}

/// Returns the head of the table.
pub fn header() -> String {
    "| callers | fault | orders | ran | not run | unknown | doubled | false not run | false ran |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        .to_owned()
}

/// Returns a row of the table.
pub fn row(policy: Policy, fault: Fault, verdict: &Verdict) -> String {
    let callers = match policy {
        Policy::Tier => "tier",
        Policy::Naive => "naive",
    };
    let share = |count: u32| {
        let ratio = f64::from(count) / f64::from(verdict.orders_count.max(1));
        format!("{count} ({:.2}%)", ratio * 100.0)
    };
    format!(
        "| {callers} | {} | {} | {} | {} | {} | {} | {} | {} |",
        fault::name(fault),
        verdict.orders_count,
        share(verdict.ran_count),
        share(verdict.not_run_count),
        share(verdict.unknown_count),
        verdict.doubled_count,
        verdict.false_not_run_count,
        verdict.false_ran_count,
    )
}
