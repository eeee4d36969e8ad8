//! The ledger records executions of non-idempotent calls, which must run at most once.

use serde::Serialize;

/// Bounds the memory of the ledger; executions beyond it are only counted.
const MAX_EXECUTIONS_COUNT: usize = 100_000;

/// The state of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionState {
    /// It has started and not ended yet.
    Running,
    /// It completed.
    Done,
    /// It was cancelled after it had started.
    Cancelled,
    /// The target crashed during the execution.
    Crashed,
}

/// One execution of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Execution {
    /// Name of the target.
    pub target: String,
    /// Number of the target's process; increases with each restart.
    pub incarnation: u64,
    /// Identifier of the call.
    pub call_id: String,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// The query.
    pub body: String,
    /// How far it has got, or how it ended.
    pub state: ExecutionState,
}

/// Executions of non-idempotent calls.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Ledger {
    /// Recorded executions in the order of their start.
    pub executions: Vec<Execution>,
    /// Executions that were not recorded because the ledger was full.
    pub dropped_count: u64,
}

/// Records the start of an execution and returns its index, or nothing if the ledger is full.
pub fn record_start(ledger: &mut Ledger, execution: Execution) -> Option<usize> {
    if ledger.executions.len() == MAX_EXECUTIONS_COUNT {
        ledger.dropped_count += 1;
        return None;
    }
    ledger.executions.push(execution);
    Some(ledger.executions.len() - 1)
}

/// Records the end of an execution; does nothing if its start was not recorded.
pub fn record_end(ledger: &mut Ledger, index: Option<usize>, state: ExecutionState) {
    let Some(index) = index else { return };
    if let Some(execution) = ledger.executions.get_mut(index) {
        execution.state = state;
    }
}
