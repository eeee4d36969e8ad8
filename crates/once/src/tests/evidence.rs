//! From evidence to outcome.

use model::{CallFailure, NotRunReason, Outcome, ReplyStatus, UnknownReason};
use rstest::rstest;

use crate::{Evidence, outcome};

const DECLINED: Outcome = Outcome::NotRun(NotRunReason::Declined);
const LOST: Outcome = Outcome::Unknown(UnknownReason::ConnectionLost);
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
fn follows_the_word_of_the_target(#[case] status: ReplyStatus, #[case] expected: Outcome) {
    let mut evidence = Evidence::default();
    evidence.replied(status);
    assert_eq!(outcome(&evidence), expected);
}

#[rstest]
#[case(CallFailure::ConnectRefused, DECLINED)]
#[case(CallFailure::NotSent, DECLINED)]
#[case(CallFailure::ConnectionLost, LOST)]
#[case(CallFailure::Truncated, LOST)]
fn doubts_a_call_that_may_have_arrived(#[case] failure: CallFailure, #[case] expected: Outcome) {
    let mut evidence = Evidence::default();
    evidence.failed(failure);
    assert_eq!(outcome(&evidence), expected);
}

#[test]
fn one_doubt_outweighs_any_number_of_refusals() {
    let mut evidence = Evidence::default();
    evidence.replied(ReplyStatus::Shed);
    evidence.failed(CallFailure::ConnectionLost);
    evidence.replied(ReplyStatus::Draining);
    assert_eq!(outcome(&evidence), LOST);
}
