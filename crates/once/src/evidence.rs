//! From evidence to outcome.

use model::{CallFailure, NotRunReason, Outcome, ReplyStatus, UnknownReason};
use serde::Serialize;

/// What is known about all calls of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct Evidence {
    /// Replies that vouch for execution.
    pub ran_count: u32,
    /// Calls whose execution is in doubt because their connection was lost.
    pub lost_count: u32,
    /// Calls that still run, or were cancelled while they ran.
    pub running_count: u32,
    /// Calls that did not reach a target or that a target declined.
    pub declined_count: u32,
}

impl Evidence {
    /// Takes in a target's whole reply.
    pub fn replied(&mut self, status: ReplyStatus) {
        match status {
            ReplyStatus::Done | ReplyStatus::Failed => self.ran_count += 1,
            ReplyStatus::CancelledRunning => self.running_count += 1,
            _ => self.declined_count += 1,
        }
    }

    /// Takes in a call that ended without a whole reply.
    pub fn failed(&mut self, failure: CallFailure) {
        if failure.may_have_reached_target() {
            self.lost_count += 1;
        } else {
            self.declined_count += 1;
        }
    }
}

/// Decides whether a request ran.
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
    if evidence.declined_count > 0 {
        return Outcome::NotRun(NotRunReason::Declined);
    }
    Outcome::NotRun(NotRunReason::NoTarget)
}
