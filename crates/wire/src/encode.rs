//! Encodes messages as protobuf frames.

use std::time::Duration;

use bytes::Bytes;
use model::{
    Answer, Digest, ForwardedRequest, MemberRow, MemberState, Message, Outcome, PermitAnswer,
    PermitQuestion, PermitReturn, Priority, QuarantineUpdate, RateLimitUpdate, RelayedRequest,
    StoreArea, StoreChanges, StrikeUpdate, variant_name,
};
use prost::Message as _;

use crate::generated::{self, frame};

/// Encodes a message as the payload of one frame, without the length prefix.
pub fn encode(message: &Message) -> Bytes {
    let message = match message {
        Message::Digest(digest) => frame::Message::Digest(encode_digest(digest)),
        Message::NoteWanted {
            reply_to,
            at_least_revision,
        } => frame::Message::NoteWanted(generated::NoteWanted {
            reply_to: reply_to.to_string(),
            at_least_revision: *at_least_revision,
        }),
        Message::Note { revision, body } => frame::Message::Note(generated::Note {
            revision: *revision,
            body: body.clone(),
        }),
        Message::Forward(request) => frame::Message::Forward(encode_forward(request)),
        Message::ForwardAnswer {
            forward_id,
            answered_by,
            answer,
        } => frame::Message::ForwardAnswer(generated::ForwardAnswer {
            forward_id: *forward_id,
            answered_by: answered_by.map(|address| address.to_string()),
            answer: Some(encode_answer(answer)),
        }),
        Message::Relay(relay) => frame::Message::Relay(encode_relay(relay)),
        Message::RelayTaken {
            relay_id,
            answered_by,
        } => frame::Message::RelayTaken(generated::RelayTaken {
            relay_id: *relay_id,
            granted_by: None,
            answered_by: answered_by.map(|address| address.to_string()),
        }),
        Message::RelayGranted { reply_to, relay_id } => {
            frame::Message::RelayTaken(generated::RelayTaken {
                relay_id: *relay_id,
                granted_by: Some(reply_to.to_string()),
                answered_by: None,
            })
        }
        Message::RelayCancel { reply_to, relay_id } => {
            frame::Message::RelayCancel(generated::RelayCancel {
                reply_to: reply_to.to_string(),
                relay_id: *relay_id,
            })
        }
        Message::RelayAnswer {
            relay_id,
            answered_by,
            answer,
            is_unsent,
            is_unexecuted,
        } => frame::Message::RelayAnswer(generated::RelayAnswer {
            relay_id: *relay_id,
            answered_by: answered_by.map(|address| address.to_string()),
            answer: answer.as_ref().map(|answer| generated::MergedAnswer {
                proofs: answer
                    .proofs
                    .iter()
                    .map(|proof| proof.to_string())
                    .collect(),
                missing_count: answer.missing_count,
                body: answer.body.clone(),
            }),
            is_unsent: *is_unsent,
            is_unexecuted: *is_unexecuted,
        }),
        Message::StoreChanges(changes) => {
            frame::Message::StoreChanges(encode_store_changes(changes))
        }
        Message::PermitsWanted {
            reply_to,
            questions,
        } => frame::Message::PermitsWanted(generated::PermitsWanted {
            reply_to: reply_to.to_string(),
            questions: questions.iter().map(encode_permit_question).collect(),
        }),
        Message::PermitsGranted {
            answered_by,
            answers,
        } => frame::Message::PermitsGranted(generated::PermitsGranted {
            answered_by: answered_by.to_string(),
            answers: answers.iter().map(encode_permit_answer).collect(),
        }),
        Message::PermitsReturned {
            returned_by,
            returns,
        } => frame::Message::PermitsReturned(generated::PermitsReturned {
            returned_by: returned_by.to_string(),
            returns: returns.iter().map(encode_permit_return).collect(),
        }),
    };
    generated::Frame {
        message: Some(message),
    }
    .encode_to_vec()
    .into()
}

fn encode_relay(relay: &RelayedRequest) -> generated::Relay {
    let request = &relay.request;
    let headers = request.headers.iter().map(|header| generated::Header {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    generated::Relay {
        reply_to: relay.reply_to.to_string(),
        relay_id: relay.relay_id,
        version: relay.version,
        request: Some(generated::HttpRequest {
            request_id: request.request_id.clone(),
            method: request.method.clone(),
            host: request.host.clone(),
            path: request.path.clone(),
            headers: headers.collect(),
            timeout_ms: request.timeout.map(to_ms),
            body: request.body.clone(),
            organisation: request.organisation.as_deref().map(str::to_owned),
        }),
        goal_ms: relay.goal.map(to_ms),
        attempts_max_count: relay.attempts_max_count,
    }
}

fn encode_permit_question(question: &PermitQuestion) -> generated::PermitQuestion {
    generated::PermitQuestion {
        question_id: question.question_id,
        organisation: question.organisation.clone(),
        wanted_count: question.wanted_count,
        prefetch_count: question.prefetch_count,
    }
}

fn encode_permit_answer(answer: &PermitAnswer) -> generated::PermitAnswer {
    generated::PermitAnswer {
        question_id: answer.question_id,
        granted_count: answer.granted_count,
        prefetched_count: answer.prefetched_count,
        grant_id: answer.grant_id,
        wait_ms: to_ms(answer.wait),
        is_issuer: answer.is_issuer,
    }
}

fn encode_permit_return(permits: &PermitReturn) -> generated::PermitReturn {
    generated::PermitReturn {
        grant_id: permits.grant_id,
        unused_count: permits.unused_count,
    }
}

fn encode_store_changes(changes: &StoreChanges) -> generated::StoreChanges {
    let area = match changes.area {
        StoreArea::Operators => generated::StoreArea::Operators,
        StoreArea::Targets => generated::StoreArea::Targets,
    };
    generated::StoreChanges {
        area: area.into(),
        era: changes.era,
        after_revision: changes.after_revision,
        revision: changes.revision,
        body: changes.body.clone(),
    }
}

fn encode_digest(digest: &Digest) -> generated::Digest {
    let observations = &digest.observations;
    generated::Digest {
        from: Some(encode_member(&digest.from)),
        sequence: digest.sequence,
        wants_reply: digest.wants_reply,
        revision: digest.revision,
        version_in_force: digest.version_in_force,
        is_repeated: digest.is_repeated,
        freshness_age_ms: to_ms(digest.freshness_age),
        members: digest.members.iter().map(encode_member).collect(),
        quarantine: observations
            .quarantine
            .iter()
            .map(encode_quarantine)
            .collect(),
        rate_limits: observations
            .rate_limits
            .iter()
            .map(encode_rate_limit)
            .collect(),
    }
}

fn encode_member(row: &MemberRow) -> generated::Member {
    let state = match row.state {
        MemberState::Alive => generated::MemberState::Alive,
        MemberState::Suspected => generated::MemberState::Suspected,
        MemberState::Leaving => generated::MemberState::Leaving,
        MemberState::Gone => generated::MemberState::Gone,
    };
    generated::Member {
        name: row.id.name.clone(),
        incarnation: row.id.incarnation,
        address: row.address.to_string(),
        zone: row.zone.clone(),
        capacity_millicores: row.capacity_millicores,
        counter: row.counter,
        state: state.into(),
        understands_permits: row.understands_permits,
    }
}

fn encode_quarantine(row: &QuarantineUpdate) -> generated::Quarantine {
    generated::Quarantine {
        fingerprint: row.fingerprint,
        strikes_count: row.strikes_count,
        remaining_ms: to_ms(row.remaining),
        strikes: row.strikes.iter().map(encode_strike).collect(),
        is_quarantined: row.is_quarantined,
    }
}

fn encode_rate_limit(row: &RateLimitUpdate) -> generated::RateLimit {
    generated::RateLimit {
        target_id: row.target_id.clone(),
        limit_per_1000_s: row.limit_per_1000_s,
        heard_age_ms: to_ms(row.heard_age),
    }
}

fn encode_strike(strike: &StrikeUpdate) -> generated::Strike {
    generated::Strike {
        id: strike.id,
        service: strike.service,
        sent_age_ms: to_ms(strike.sent_age),
        lost_age_ms: to_ms(strike.lost_age),
        is_cleared: strike.is_cleared,
    }
}

fn encode_forward(request: &ForwardedRequest) -> generated::Forward {
    let priority = match request.priority {
        Priority::Urgent => generated::Priority::Urgent,
        Priority::Normal => generated::Priority::Normal,
        Priority::Deferrable => generated::Priority::Deferrable,
    };
    generated::Forward {
        reply_to: request.reply_to.to_string(),
        forward_id: request.forward_id,
        request_id: request.request_id.clone(),
        front: request.front.clone(),
        service: request.service.clone(),
        priority: priority.into(),
        ticket: request.ticket.clone(),
        timeout_ms: to_ms(request.timeout),
        body: request.body.clone(),
    }
}

fn encode_answer(answer: &Answer) -> generated::Answer {
    let (state, reason) = match &answer.outcome {
        Outcome::Ran => (generated::OutcomeState::Ran, String::new()),
        Outcome::NotRun(reason) => (generated::OutcomeState::NotRun, variant_name(reason)),
        Outcome::Unknown(reason) => (generated::OutcomeState::Unknown, variant_name(reason)),
    };
    let missing = answer
        .coverage
        .missing
        .iter()
        .map(|missing| generated::MissingService {
            service: missing.service.to_string(),
            reason: variant_name(&missing.reason),
        });
    let results = answer
        .results
        .iter()
        .map(|result| generated::ServiceResult {
            service: result.service.to_string(),
            body: result.body.clone(),
        });
    generated::Answer {
        request_id: answer.request_id.clone(),
        outcome_state: state.into(),
        outcome_reason: reason,
        snapshot: answer.snapshot,
        answered_count: answer.coverage.answered_count,
        total_count: answer.coverage.total_count,
        missing: missing.collect(),
        results: results.collect(),
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
