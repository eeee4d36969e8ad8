//! Outcomes derived from the results of calls.

use model::{CallFailure, NotRunReason, Outcome, ReplyStatus, UnknownReason};
use rstest::rstest;

use crate::{Evidence, outcome};

const DECLINED: Outcome = Outcome::NotRun(NotRunReason::Declined);
const LOST: Outcome = Outcome::Unknown(UnknownReason::ConnectionLost);
const UNCONFIRMED: Outcome = Outcome::Unknown(UnknownReason::UnconfirmedRefusal);
const RUNNING: Outcome = Outcome::Unknown(UnknownReason::DeadlinePassed);

#[rstest]
#[case(ReplyStatus::Done, Outcome::Ran)]
#[case(ReplyStatus::Failed, Outcome::Ran)]
#[case(ReplyStatus::Shed, DECLINED)]
#[case(ReplyStatus::WrongSnapshot, DECLINED)]
#[case(ReplyStatus::Draining, DECLINED)]
#[case(ReplyStatus::DeadlinePassed, DECLINED)]
#[case(ReplyStatus::CancelledUnrun, DECLINED)]
#[case(ReplyStatus::CancelledRunning, RUNNING)]
#[case(ReplyStatus::UnconfirmedRefusal, UNCONFIRMED)]
fn outcome_of_single_reply(#[case] status: ReplyStatus, #[case] expected: Outcome) {
    let mut evidence = Evidence::default();
    evidence.record_reply(status);
    assert_eq!(outcome(&evidence), expected);
}

#[rstest]
#[case(CallFailure::ConnectRefused, DECLINED)]
#[case(CallFailure::NotSent, DECLINED)]
#[case(CallFailure::ConnectionLost, LOST)]
#[case(CallFailure::Truncated, LOST)]
fn outcome_of_single_failed_call(#[case] failure: CallFailure, #[case] expected: Outcome) {
    let mut evidence = Evidence::default();
    evidence.record_failure(failure);
    assert_eq!(outcome(&evidence), expected);
}

#[test]
fn lost_connection_outweighs_declined_calls() {
    let mut evidence = Evidence::default();
    evidence.record_reply(ReplyStatus::Shed);
    evidence.record_failure(CallFailure::ConnectionLost);
    evidence.record_reply(ReplyStatus::Draining);
    assert_eq!(outcome(&evidence), LOST);
}
