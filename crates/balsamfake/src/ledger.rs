//! The ledger: every execution of a call that must run at most once.

use serde::Serialize;

/// Executions that are kept; later ones are only counted.
const MAX_EXECUTIONS_COUNT: usize = 100_000;

/// What became of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionState {
    /// It is going on.
    Running,
    /// It came to its end.
    Done,
    /// It was cancelled after it had begun.
    Cancelled,
    /// The target crashed.
    Crashed,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Execution {
    /// Name of the target.
    pub target: String,
    /// Identifier of the target's process.
    pub incarnation: u64,
    /// Number of the call.
    pub call_id: String,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// The query.
    pub body: String,
    /// What became of it.
    pub state: ExecutionState,
}

/// Every execution of a call that must run at most once.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Ledger {
    /// The executions in the order in which they began.
    pub executions: Vec<Execution>,
    /// Executions that were not kept.
    pub dropped_count: u64,
}

/// Enters the beginning of an execution; returns its place.
pub fn record_start(ledger: &mut Ledger, execution: Execution) -> Option<usize> {
    if ledger.executions.len() == MAX_EXECUTIONS_COUNT {
        ledger.dropped_count += 1;
        return None;
    }
    ledger.executions.push(execution);
    Some(ledger.executions.len() - 1)
}

/// Enters the end of an execution.
pub fn record_end(ledger: &mut Ledger, index: Option<usize>, state: ExecutionState) {
    let Some(index) = index else { return };
    if let Some(execution) = ledger.executions.get_mut(index) {
        execution.state = state;
    }
}
