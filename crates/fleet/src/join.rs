//! Joining the fleet: an instance serves only after it has caught up with the highest revision.

use std::time::Instant;

use model::{Effect, Level, LogLine, MemberState};

use crate::{FleetState, JoinState, platform_reads};

/// Minimum number of members that a joining instance probes per tick, and the number of replies
/// that it waits for if that many members are alive or leaving.
pub(crate) const JOIN_FANOUT_COUNT: usize = 5;

/// Returns whether the instance may serve: it has caught up, or timed out without any answer.
pub fn is_joined(fleet: &FleetState) -> bool {
    fleet.join != JoinState::Waiting
}

/// Completes joining once the highest known revision is accepted and either the platform and enough
/// members have answered or the join limit has passed.
pub(crate) fn try_complete(
    fleet: &mut FleetState,
    settings: &settings::Fleet,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    let since = *fleet.join_started_at.get_or_insert(now);
    expire_heard_revision(fleet, settings, now);
    if fleet.join != JoinState::Waiting || fleet.note.is_none() {
        return;
    }
    if fleet.heard_revision > fleet.revision() {
        return;
    }
    let is_reachable = |state| matches!(state, MemberState::Alive | MemberState::Leaving);
    let members = fleet.members.values();
    let reachable_count = members
        .clone()
        .filter(|m| is_reachable(m.row.state))
        .count();
    let replied = members.filter(|member| member.confirmed_at.is_some_and(|at| at >= since));
    let replied_count = replied.count();
    let has_timed_out = now.saturating_duration_since(since) >= settings.join_limit;
    let has_enough_answers = platform_reads::has_finished_initial_reads(fleet)
        && replied_count >= reachable_count.min(JOIN_FANOUT_COUNT);
    let has_any_answer = replied_count > 0 || fleet.fresh_as_of.is_some();
    let join = match (has_enough_answers, has_timed_out, has_any_answer) {
        (true, _, true) | (_, true, true) => JoinState::CaughtUp,
        (_, true, false) => JoinState::NoAnswer,
        _ => return,
    };
    fleet.join = join;
    let reason = if join == JoinState::CaughtUp {
        "caught-up"
    } else {
        "nobody-to-ask"
    };
    let line = LogLine::new(Level::Info, "joined").with("reason", reason);
    out.push(Effect::Log(line.with("revision", fleet.revision())));
}

/// Resets the heard revision if no digest has contained it within the join limit.
fn expire_heard_revision(fleet: &mut FleetState, settings: &settings::Fleet, now: Instant) {
    let is_old = fleet
        .heard_revision_at
        .is_none_or(|at| now.saturating_duration_since(at) >= settings.join_limit);
    if is_old {
        fleet.heard_revision = fleet.revision();
    }
}
