//! Decodes messages from protobuf frames.

use std::{net::SocketAddr, sync::Arc};

use displaydoc::Display;
use model::{
    Answer, Coverage, Digest, ForwardedRequest, Header, HttpRequest, InstanceId, MemberRow,
    MemberState, MergedAnswer, Message, Missing, Observations, Outcome, PermitAnswer,
    PermitQuestion, PermitReturn, Priority, QuarantineUpdate, RateLimitUpdate, RelayedRequest,
    ShardResult, StoreArea, StoreChanges, StrikeUpdate, clamped_span_from_ms, variant_from_name,
};
use prost::Message as _;
use serde::Deserialize;

use crate::generated::{self, frame};

/// Highest incarnation or counter of an instance; far above any that a clock or a count yields.
const COUNTER_MAX: u64 = 1 << 62;
/// Most permits of one item; a question asks for at most as many.
const PERMITS_MAX_COUNT: u32 = 1_000;
/// Most items in one message about permits: one for each organisation of a large configuration.
const PERMIT_ITEMS_MAX_COUNT: usize = 10_000;

/// Why a frame could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum DecodeError {
    /// not a protobuf frame: {0}
    Protobuf(String),
    /// the field `{0}` is missing
    Missing(&'static str),
    /// the field `{0}` has an invalid value
    Invalid(&'static str),
}

impl std::error::Error for DecodeError {}

/// Decodes a message from the payload of one frame, without the length prefix.
///
/// # Errors
///
/// Returns an error if the bytes are not a protobuf frame, or a required field is missing or invalid.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    let frame = generated::Frame::decode(bytes);
    let frame = frame.map_err(|error| DecodeError::Protobuf(error.to_string()))?;
    let message = match frame.message.ok_or(DecodeError::Missing("message"))? {
        frame::Message::Digest(digest) => Message::Digest(decode_digest(digest)?),
        frame::Message::NoteWanted(wanted) => Message::NoteWanted {
            reply_to: decode_address(&wanted.reply_to, "reply_to")?,
            at_least_revision: wanted.at_least_revision,
        },
        frame::Message::Note(note) => Message::Note {
            revision: note.revision,
            body: note.body,
        },
        frame::Message::Forward(forward) => Message::Forward(decode_forward(forward)?),
        frame::Message::ForwardAnswer(forward) => Message::ForwardAnswer {
            forward_id: forward.forward_id,
            answered_by: decode_sender(forward.answered_by.as_deref())?,
            answer: Box::new(decode_answer(
                forward.answer.ok_or(DecodeError::Missing("answer"))?,
            )?),
        },
        frame::Message::Relay(relay) => Message::Relay(decode_relay(relay)?),
        frame::Message::RelayTaken(taken) => match taken.granted_by {
            Some(address) => Message::RelayGranted {
                reply_to: decode_address(&address, "granted_by")?,
                relay_id: taken.relay_id,
            },
            None => Message::RelayTaken {
                relay_id: taken.relay_id,
                answered_by: decode_sender(taken.answered_by.as_deref())?,
            },
        },
        frame::Message::RelayCancel(cancel) => Message::RelayCancel {
            reply_to: decode_address(&cancel.reply_to, "reply_to")?,
            relay_id: cancel.relay_id,
        },
        frame::Message::RelayAnswer(answer) => Message::RelayAnswer {
            relay_id: answer.relay_id,
            answered_by: decode_sender(answer.answered_by.as_deref())?,
            answer: answer.answer.map(|answer| MergedAnswer {
                proofs: answer.proofs.into_iter().map(Arc::from).collect(),
                missing_count: answer.missing_count,
                body: answer.body,
            }),
            is_unsent: answer.is_unsent,
            is_unexecuted: answer.is_unexecuted,
        },
        frame::Message::StoreChanges(changes) => {
            Message::StoreChanges(decode_store_changes(changes)?)
        }
        frame::Message::PermitsWanted(wanted) => Message::PermitsWanted {
            reply_to: decode_address(&wanted.reply_to, "reply_to")?,
            questions: decode_items(wanted.questions, decode_permit_question)?,
        },
        frame::Message::PermitsGranted(granted) => Message::PermitsGranted {
            answered_by: decode_address(&granted.answered_by, "answered_by")?,
            answers: decode_items(granted.answers, decode_permit_answer)?,
        },
        frame::Message::PermitsReturned(returned) => Message::PermitsReturned {
            returned_by: decode_address(&returned.returned_by, "returned_by")?,
            returns: decode_items(returned.returns, |permits| PermitReturn {
                grant_id: permits.grant_id,
                unused_count: permits.unused_count.min(PERMITS_MAX_COUNT),
            })?,
        },
    };
    Ok(message)
}

fn decode_relay(relay: generated::Relay) -> Result<RelayedRequest, DecodeError> {
    let request = relay.request.ok_or(DecodeError::Missing("request"))?;
    let headers = request.headers.into_iter().map(|header| Header {
        name: header.name,
        value: header.value,
    });
    Ok(RelayedRequest {
        reply_to: decode_address(&relay.reply_to, "reply_to")?,
        relay_id: relay.relay_id,
        version: relay.version,
        request: Arc::new(HttpRequest {
            request_id: request.request_id,
            method: request.method,
            host: request.host,
            path: request.path,
            headers: headers.collect(),
            credential: None,
            stated_organisation: Vec::new(),
            organisation: request.organisation.map(Arc::from),
            timeout: request.timeout_ms.map(clamped_span_from_ms),
            body: request.body,
        }),
        goal: relay.goal_ms.map(clamped_span_from_ms),
        attempts_max_count: relay.attempts_max_count,
    })
}

/// Decodes the items of a message about permits, which are bounded in number.
fn decode_items<T, U>(items: Vec<T>, decode: impl Fn(T) -> U) -> Result<Vec<U>, DecodeError> {
    if items.len() > PERMIT_ITEMS_MAX_COUNT {
        return Err(DecodeError::Invalid("items"));
    }
    Ok(items.into_iter().map(decode).collect())
}

fn decode_permit_question(question: generated::PermitQuestion) -> PermitQuestion {
    PermitQuestion {
        question_id: question.question_id,
        organisation: question.organisation,
        wanted_count: question.wanted_count.min(PERMITS_MAX_COUNT),
        prefetch_count: question.prefetch_count.min(PERMITS_MAX_COUNT),
    }
}

fn decode_permit_answer(answer: generated::PermitAnswer) -> PermitAnswer {
    PermitAnswer {
        question_id: answer.question_id,
        granted_count: answer.granted_count.min(PERMITS_MAX_COUNT),
        prefetched_count: answer.prefetched_count.min(PERMITS_MAX_COUNT),
        grant_id: answer.grant_id,
        wait: clamped_span_from_ms(answer.wait_ms),
        is_issuer: answer.is_issuer,
    }
}

fn decode_store_changes(changes: generated::StoreChanges) -> Result<StoreChanges, DecodeError> {
    let area = match changes.area() {
        generated::StoreArea::Unspecified => return Err(DecodeError::Invalid("area")),
        generated::StoreArea::Operators => StoreArea::Operators,
        generated::StoreArea::Targets => StoreArea::Targets,
    };
    Ok(StoreChanges {
        area,
        era: decode_counter(changes.era, "era")?,
        after_revision: changes.after_revision,
        revision: changes.revision,
        body: changes.body,
    })
}

fn decode_digest(digest: generated::Digest) -> Result<Digest, DecodeError> {
    let members: Result<_, _> = digest.members.into_iter().map(decode_member).collect();
    Ok(Digest {
        from: decode_member(digest.from.ok_or(DecodeError::Missing("from"))?)?,
        sequence: digest.sequence,
        wants_reply: digest.wants_reply,
        revision: digest.revision,
        version_in_force: digest.version_in_force,
        is_repeated: digest.is_repeated,
        freshness_age: clamped_span_from_ms(digest.freshness_age_ms),
        members: members?,
        observations: Observations {
            quarantine: digest
                .quarantine
                .into_iter()
                .map(decode_quarantine)
                .collect(),
            rate_limits: digest
                .rate_limits
                .into_iter()
                .map(decode_rate_limit)
                .collect(),
        },
    })
}

fn decode_member(member: generated::Member) -> Result<MemberRow, DecodeError> {
    let state = match member.state() {
        generated::MemberState::Unspecified => return Err(DecodeError::Invalid("state")),
        generated::MemberState::Alive => MemberState::Alive,
        generated::MemberState::Suspected => MemberState::Suspected,
        generated::MemberState::Leaving => MemberState::Leaving,
        generated::MemberState::Gone => MemberState::Gone,
    };
    Ok(MemberRow {
        id: InstanceId {
            name: member.name,
            incarnation: decode_counter(member.incarnation, "incarnation")?,
        },
        address: decode_address(&member.address, "address")?,
        zone: member.zone,
        capacity_millicores: member.capacity_millicores,
        counter: decode_counter(member.counter, "counter")?,
        state,
        understands_permits: member.understands_permits,
    })
}

/// Decodes a number that the instance which it belongs to must be able to exceed.
fn decode_counter(counter: u64, field: &'static str) -> Result<u64, DecodeError> {
    match counter <= COUNTER_MAX {
        true => Ok(counter),
        false => Err(DecodeError::Invalid(field)),
    }
}

fn decode_quarantine(row: generated::Quarantine) -> QuarantineUpdate {
    QuarantineUpdate {
        fingerprint: row.fingerprint,
        strikes_count: row.strikes_count,
        is_quarantined: row.is_quarantined,
        remaining: clamped_span_from_ms(row.remaining_ms),
        strikes: row.strikes.into_iter().map(decode_strike).collect(),
    }
}

fn decode_rate_limit(row: generated::RateLimit) -> RateLimitUpdate {
    RateLimitUpdate {
        target_id: row.target_id,
        limit_per_1000_s: row.limit_per_1000_s,
        heard_age: clamped_span_from_ms(row.heard_age_ms),
    }
}

fn decode_strike(strike: generated::Strike) -> StrikeUpdate {
    StrikeUpdate {
        id: strike.id,
        service: strike.service,
        sent_age: clamped_span_from_ms(strike.sent_age_ms),
        lost_age: clamped_span_from_ms(strike.lost_age_ms),
        is_cleared: strike.is_cleared,
    }
}

fn decode_forward(forward: generated::Forward) -> Result<ForwardedRequest, DecodeError> {
    let priority = match forward.priority() {
        generated::Priority::Unspecified => return Err(DecodeError::Invalid("priority")),
        generated::Priority::Urgent => Priority::Urgent,
        generated::Priority::Normal => Priority::Normal,
        generated::Priority::Deferrable => Priority::Deferrable,
    };
    Ok(ForwardedRequest {
        reply_to: decode_address(&forward.reply_to, "reply_to")?,
        forward_id: forward.forward_id,
        request_id: forward.request_id,
        front: forward.front,
        service: forward.service,
        priority,
        ticket: forward.ticket,
        timeout: clamped_span_from_ms(forward.timeout_ms),
        body: forward.body,
    })
}

fn decode_answer(answer: generated::Answer) -> Result<Answer, DecodeError> {
    let outcome = decode_outcome(answer.outcome_state(), &answer.outcome_reason)?;
    let missing: Result<_, _> = answer.missing.into_iter().map(decode_missing).collect();
    let results = answer.results.into_iter().map(|result| ShardResult {
        service: result.service.into(),
        body: result.body,
    });
    let coverage = Coverage {
        answered_count: answer.answered_count,
        total_count: answer.total_count,
        missing: missing?,
    };
    Ok(Answer {
        request_id: answer.request_id,
        outcome,
        snapshot: answer.snapshot,
        coverage,
        results: results.collect(),
    })
}

fn decode_outcome(state: generated::OutcomeState, reason: &str) -> Result<Outcome, DecodeError> {
    match state {
        generated::OutcomeState::Unspecified => Err(DecodeError::Invalid("outcome_state")),
        generated::OutcomeState::Ran => Ok(Outcome::Ran),
        generated::OutcomeState::NotRun => {
            decode_reason(reason, "outcome_reason").map(Outcome::NotRun)
        }
        generated::OutcomeState::Unknown => {
            decode_reason(reason, "outcome_reason").map(Outcome::Unknown)
        }
    }
}

fn decode_missing(missing: generated::MissingService) -> Result<Missing, DecodeError> {
    let reason = decode_reason(&missing.reason, "reason")?;
    Ok(Missing {
        service: missing.service.into(),
        reason,
    })
}

fn decode_reason<'a, T: Deserialize<'a>>(
    text: &'a str,
    field: &'static str,
) -> Result<T, DecodeError> {
    variant_from_name(text).ok_or(DecodeError::Invalid(field))
}

fn decode_sender(text: Option<&str>) -> Result<Option<SocketAddr>, DecodeError> {
    let address = text.map(|text| decode_address(text, "answered_by"));
    address.transpose()
}

fn decode_address(text: &str, field: &'static str) -> Result<SocketAddr, DecodeError> {
    text.parse().map_err(|_| DecodeError::Invalid(field))
}
