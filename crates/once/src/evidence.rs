//! Derives a request's outcome from the results of its calls.

use model::{CallFailure, NotRunReason, Outcome, ReplyStatus, UnknownReason};
use serde::Serialize;

/// Results of all calls of one request, counted by what they say about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct Evidence {
    /// Replies that confirm execution.
    pub ran_count: u32,
    /// Calls that may have been executed because their connection was lost after sending.
    pub lost_count: u32,
    /// Calls that are still executing or were cancelled during execution.
    pub running_count: u32,
    /// Refusals that do not confirm that the call was not executed.
    pub unconfirmed_count: u32,
    /// Calls that did not reach a target or that a target declined before execution.
    pub declined_count: u32,
}

impl Evidence {
    /// Counts a complete reply from a target.
    pub fn record_reply(&mut self, status: ReplyStatus) {
        match status {
            ReplyStatus::Done | ReplyStatus::Failed => self.ran_count += 1,
            ReplyStatus::CancelledRunning => self.running_count += 1,
            ReplyStatus::UnconfirmedRefusal => self.unconfirmed_count += 1,
            _ => self.declined_count += 1,
        }
    }

    /// Counts a call that ended without a complete reply.
    pub fn record_failure(&mut self, failure: CallFailure) {
        if failure.may_have_reached_target() {
            self.lost_count += 1;
        } else {
            self.declined_count += 1;
        }
    }
}

/// Decides whether a request ran.
///
/// One execution outweighs every other result; one call in doubt outweighs any number of declined
/// calls.
pub fn outcome(evidence: &Evidence) -> Outcome {
    if evidence.ran_count > 0 {
        return Outcome::Ran;
    }
    if evidence.lost_count > 0 {
        return Outcome::Unknown(UnknownReason::ConnectionLost);
    }
    if evidence.running_count > 0 {
        return Outcome::Unknown(UnknownReason::DeadlinePassed);
    }
    if evidence.unconfirmed_count > 0 {
        return Outcome::Unknown(UnknownReason::UnconfirmedRefusal);
    }
    if evidence.declined_count > 0 {
        return Outcome::NotRun(NotRunReason::Declined);
    }
    Outcome::NotRun(NotRunReason::NoTarget)
}
