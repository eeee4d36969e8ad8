//! Property tests of encoding and decoding.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::{
    Answer, Coverage, Digest, ForwardedRequest, Header, HttpRequest, InstanceId, MemberRow,
    MemberState, MergedAnswer, Message, Missing, MissingReason, NotRunReason, Observations,
    Outcome, PermitAnswer, PermitQuestion, PermitReturn, Priority, QuarantineUpdate,
    RateLimitUpdate, RelayedRequest, SPAN_MAX, ShardResult, StoreArea, StoreChanges, StrikeUpdate,
    UnknownReason,
};
use proptest::{collection::vec, option, prelude::*, sample::select, test_runner::RngSeed};
use prost::Message as _;

use crate::{DecodeError, decode, encode, generated};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_an_encoded_message_yields_the_same_message(message in any_message()) {
        prop_assert_eq!(decode(&encode(&message)), Ok(message));
    }

    #[test]
    fn a_corrupted_frame_fails_or_yields_a_valid_message(
        message in any_message(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut frame = encode(&message).to_vec();
        let position = position.index(frame.len());
        frame[position] = byte;
        if let Ok(decoded) = decode(&frame) {
            prop_assert_eq!(decode(&encode(&decoded)), Ok(decoded));
        }
    }

    #[test]
    fn a_truncated_frame_does_not_panic(
        message in any_message(),
        length in any::<prop::sample::Index>(),
    ) {
        let frame = encode(&message);
        let length = length.index(frame.len());
        let _ = decode(&frame[..length]);
    }
}

/// Guards against arithmetic on times that an instance of any version may state.
#[test]
fn durations_beyond_the_bound_are_clamped() {
    for ms in [u64::MAX, 1 << 40] {
        let forward = generated::Forward {
            reply_to: "10.0.0.1:7000".to_owned(),
            priority: generated::Priority::Normal.into(),
            timeout_ms: ms,
            ..generated::Forward::default()
        };
        let frame = generated::Frame {
            message: Some(generated::frame::Message::Forward(forward)),
        };
        let Ok(Message::Forward(forward)) = decode(&frame.encode_to_vec()) else {
            panic!("the frame is valid");
        };
        assert_eq!(forward.timeout, SPAN_MAX);
    }
}

/// Guards against a row that its owner cannot refute.
#[test]
fn a_counter_that_its_owner_cannot_exceed_is_refused() {
    for (incarnation, counter) in [(u64::MAX, 0), (0, u64::MAX)] {
        let from = generated::Member {
            incarnation,
            counter,
            address: "10.0.0.1:7000".to_owned(),
            state: generated::MemberState::Alive.into(),
            ..generated::Member::default()
        };
        let digest = generated::Digest {
            from: Some(from),
            ..generated::Digest::default()
        };
        let frame = generated::Frame {
            message: Some(generated::frame::Message::Digest(digest)),
        };
        let decoded = decode(&frame.encode_to_vec());
        assert!(matches!(decoded, Err(DecodeError::Invalid(_))));
    }
}

/// A confirmation of a relayed query, as an earlier version defines it.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct EarlierFrame {
    #[prost(message, optional, tag = "7")]
    relay_taken: Option<EarlierRelayTaken>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct EarlierRelayTaken {
    #[prost(uint64, tag = "1")]
    relay_id: u64,
    #[prost(string, optional, tag = "2")]
    granted_by: Option<String>,
}

/// Guards against a fleet that loses replies while its instances are replaced by a newer version.
#[test]
fn replies_are_read_by_and_from_an_earlier_version() {
    let earlier = EarlierFrame {
        relay_taken: Some(EarlierRelayTaken {
            relay_id: u64::MAX,
            granted_by: None,
        }),
    };
    let decoded = Message::RelayTaken {
        relay_id: u64::MAX,
        answered_by: None,
    };
    assert_eq!(decode(&earlier.encode_to_vec()), Ok(decoded));
    let current = encode(&Message::RelayTaken {
        relay_id: u64::MAX,
        answered_by: Some(([10, 0, 0, 1], 7000).into()),
    });
    assert_eq!(EarlierFrame::decode(&current[..]), Ok(earlier));
}

fn any_message() -> impl Strategy<Value = Message> {
    let body = || vec(any::<u8>(), 0..64).prop_map(Bytes::from);
    prop_oneof![
        any_digest().prop_map(Message::Digest),
        (any_address(), any::<u64>()).prop_map(|(reply_to, at_least_revision)| {
            Message::NoteWanted {
                reply_to,
                at_least_revision,
            }
        }),
        (any::<u64>(), body()).prop_map(|(revision, body)| Message::Note { revision, body }),
        any_forwarded_request().prop_map(Message::Forward),
        (any::<u64>(), option::of(any_address()), any_answer()).prop_map(
            |(forward_id, answered_by, answer)| Message::ForwardAnswer {
                forward_id,
                answered_by,
                answer: Box::new(answer),
            }
        ),
        any_relayed_request().prop_map(Message::Relay),
        (any::<u64>(), option::of(any_address())).prop_map(|(relay_id, answered_by)| {
            Message::RelayTaken {
                relay_id,
                answered_by,
            }
        }),
        (any_address(), any::<u64>())
            .prop_map(|(reply_to, relay_id)| Message::RelayGranted { reply_to, relay_id }),
        (any_address(), any::<u64>())
            .prop_map(|(reply_to, relay_id)| Message::RelayCancel { reply_to, relay_id }),
        (
            (any::<u64>(), option::of(any_address())),
            option::of(any_merged_answer()),
            any::<bool>(),
            any::<bool>()
        )
            .prop_map(
                |((relay_id, answered_by), answer, is_unsent, is_unexecuted)| {
                    Message::RelayAnswer {
                        relay_id,
                        answered_by,
                        answer,
                        is_unsent,
                        is_unexecuted,
                    }
                }
            ),
        any_store_changes().prop_map(Message::StoreChanges),
        any_permit_message(),
    ]
}

fn any_relayed_request() -> impl Strategy<Value = RelayedRequest> {
    let text = || "[ -~]{0,12}";
    let body = || vec(any::<u8>(), 0..32).prop_map(Bytes::from);
    let header = (text(), body()).prop_map(|(name, value)| Header { name, value });
    let request = (
        (text(), text(), text(), text()),
        vec(header, 0..3),
        option::of(any_duration()),
        (body(), option::of(text())),
    );
    let request = request.prop_map(
        |((request_id, method, host, path), headers, timeout, (body, organisation))| HttpRequest {
            request_id,
            method,
            host,
            path,
            headers,
            // The shell turns both into headers, in which every version finds them.
            credential: None,
            stated_organisation: Vec::new(),
            organisation: organisation.map(Into::into),
            timeout,
            body,
        },
    );
    let routing = (
        any_address(),
        any::<u64>(),
        any::<u64>(),
        option::of(any_duration()),
        option::of(any::<u32>()),
    );
    (request, routing).prop_map(
        |(request, (reply_to, relay_id, version, goal, attempts_max_count))| RelayedRequest {
            reply_to,
            relay_id,
            version,
            request: request.into(),
            goal,
            attempts_max_count,
        },
    )
}

fn any_merged_answer() -> impl Strategy<Value = MergedAnswer> {
    let proofs = vec("[ -~]{0,12}".prop_map(Into::into), 0..4);
    let body = vec(any::<u8>(), 0..64).prop_map(Bytes::from);
    (proofs, any::<u32>(), body).prop_map(|(proofs, missing_count, body)| MergedAnswer {
        proofs,
        missing_count,
        body,
    })
}

fn any_store_changes() -> impl Strategy<Value = StoreChanges> {
    let area = select(&[StoreArea::Operators, StoreArea::Targets][..]);
    let body = vec(any::<u8>(), 0..64).prop_map(Bytes::from);
    let revisions = (any_counter(), any::<u64>(), any::<u64>());
    (area, revisions, body).prop_map(
        |(area, (era, after_revision, revision), body)| StoreChanges {
            area,
            era,
            after_revision,
            revision,
            body,
        },
    )
}

fn any_permit_message() -> impl Strategy<Value = Message> {
    let count = || 0_u32..=1_000;
    let question = (any::<u64>(), ".{0,12}", count(), count()).prop_map(
        |(question_id, organisation, wanted_count, prefetch_count)| PermitQuestion {
            question_id,
            organisation,
            wanted_count,
            prefetch_count,
        },
    );
    let answer = (
        any::<[u64; 2]>(),
        count(),
        count(),
        any_duration(),
        any::<bool>(),
    )
        .prop_map(
            |([question_id, grant_id], granted_count, prefetched_count, wait, is_issuer)| {
                PermitAnswer {
                    question_id,
                    granted_count,
                    prefetched_count,
                    grant_id,
                    wait,
                    is_issuer,
                }
            },
        );
    let permits = (any::<u64>(), count()).prop_map(|(grant_id, unused_count)| PermitReturn {
        grant_id,
        unused_count,
    });
    prop_oneof![
        (any_address(), vec(question, 0..4)).prop_map(|(reply_to, questions)| {
            Message::PermitsWanted {
                reply_to,
                questions,
            }
        }),
        (any_address(), vec(answer, 0..4)).prop_map(|(answered_by, answers)| {
            Message::PermitsGranted {
                answered_by,
                answers,
            }
        }),
        (any_address(), vec(permits, 0..4)).prop_map(|(returned_by, returns)| {
            Message::PermitsReturned {
                returned_by,
                returns,
            }
        }),
    ]
}

/// Guards against counts and times that an instance of any version may state.
#[test]
fn numbers_of_permits_are_bounded() {
    let answer = generated::PermitAnswer {
        granted_count: u32::MAX,
        prefetched_count: u32::MAX,
        wait_ms: u64::MAX,
        ..generated::PermitAnswer::default()
    };
    let granted = generated::PermitsGranted {
        answered_by: "10.0.0.1:7000".to_owned(),
        answers: vec![answer],
    };
    let frame = generated::Frame {
        message: Some(generated::frame::Message::PermitsGranted(granted)),
    };
    let Ok(Message::PermitsGranted { answers, .. }) = decode(&frame.encode_to_vec()) else {
        panic!("the frame is valid");
    };
    assert_eq!(answers[0].granted_count, 1_000);
    assert_eq!(answers[0].prefetched_count, 1_000);
    assert_eq!(answers[0].wait, SPAN_MAX);
}

fn any_address() -> impl Strategy<Value = SocketAddr> {
    (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn any_duration() -> impl Strategy<Value = Duration> {
    (0..=SPAN_MAX.as_secs()).prop_map(Duration::from_secs)
}

/// Numbers that an instance can still exceed.
fn any_counter() -> impl Strategy<Value = u64> {
    0..=1_u64 << 62
}

fn any_member() -> impl Strategy<Value = MemberRow> {
    let states = [
        MemberState::Alive,
        MemberState::Suspected,
        MemberState::Leaving,
        MemberState::Gone,
    ];
    (
        ".{0,12}",
        any_counter(),
        any_address(),
        ".{0,12}",
        any_counter(),
        (select(states.to_vec()), any::<bool>()),
    )
        .prop_map(
            |(name, incarnation, address, zone, counter, (state, understands_permits))| {
                let id = InstanceId { name, incarnation };
                MemberRow {
                    id,
                    address,
                    zone,
                    capacity_millicores: 7,
                    counter,
                    state,
                    understands_permits,
                }
            },
        )
}

fn any_quarantine() -> impl Strategy<Value = QuarantineUpdate> {
    let strikes = vec(any_strike(), 0..3);
    (
        any::<u64>(),
        any::<u32>(),
        any::<bool>(),
        any_duration(),
        strikes,
    )
        .prop_map(
            |(fingerprint, strikes_count, is_quarantined, remaining, strikes)| QuarantineUpdate {
                fingerprint,
                strikes_count,
                is_quarantined,
                remaining,
                strikes,
            },
        )
}

fn any_observations() -> impl Strategy<Value = Observations> {
    let rate_limit = (any::<String>(), any::<Option<u64>>(), any_duration()).prop_map(
        |(target_id, limit_per_1000_s, heard_age)| RateLimitUpdate {
            target_id,
            limit_per_1000_s,
            heard_age,
        },
    );
    (vec(any_quarantine(), 0..4), vec(rate_limit, 0..4)).prop_map(|(quarantine, rate_limits)| {
        Observations {
            quarantine,
            rate_limits,
        }
    })
}

fn any_strike() -> impl Strategy<Value = StrikeUpdate> {
    let ages = (any_duration(), any_duration());
    (any::<u64>(), any::<u64>(), ages, any::<bool>()).prop_map(
        |(id, service, (sent_age, lost_age), is_cleared)| StrikeUpdate {
            id,
            service,
            sent_age,
            lost_age,
            is_cleared,
        },
    )
}

fn any_digest() -> impl Strategy<Value = Digest> {
    (
        any_member(),
        any::<u64>(),
        (any::<bool>(), any::<bool>()),
        (any::<u64>(), any::<u64>()),
        any_duration(),
        vec(any_member(), 0..4),
        any_observations(),
    )
        .prop_map(
            |(
                from,
                sequence,
                (wants_reply, is_repeated),
                (revision, version_in_force),
                freshness_age,
                members,
                observations,
            )| {
                Digest {
                    from,
                    sequence,
                    wants_reply,
                    is_repeated,
                    revision,
                    version_in_force,
                    freshness_age,
                    members,
                    observations,
                }
            },
        )
}

fn any_forwarded_request() -> impl Strategy<Value = ForwardedRequest> {
    let priorities = [Priority::Urgent, Priority::Normal, Priority::Deferrable];
    (
        (any_address(), any::<u64>(), ".{0,12}", ".{0,12}"),
        (
            option::of(".{0,12}"),
            select(priorities.to_vec()),
            ".{0,24}",
        ),
        (any_duration(), vec(any::<u8>(), 0..64)),
    )
        .prop_map(|(identity, options, payload)| {
            let (reply_to, forward_id, request_id, front) = identity;
            let (service, priority, ticket) = options;
            let (timeout, body) = payload;
            ForwardedRequest {
                reply_to,
                forward_id,
                request_id,
                front,
                service,
                priority,
                ticket,
                timeout,
                body: body.into(),
            }
        })
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    let outcomes = [
        Outcome::Ran,
        Outcome::NotRun(NotRunReason::UnknownFront),
        Outcome::NotRun(NotRunReason::TicketExpired),
        Outcome::Unknown(UnknownReason::OwnerGone),
        Outcome::Unknown(UnknownReason::ConnectionLost),
    ];
    select(outcomes.to_vec())
}

fn any_answer() -> impl Strategy<Value = Answer> {
    let reasons = [
        MissingReason::Late,
        MissingReason::SnapshotGone,
        MissingReason::Cold,
    ];
    let missing = (".{0,12}", select(reasons.to_vec())).prop_map(|(service, reason)| Missing {
        service: service.into(),
        reason,
    });
    let result = (".{0,12}", vec(any::<u8>(), 0..16)).prop_map(|(service, body)| ShardResult {
        service: service.into(),
        body: body.into(),
    });
    (
        ".{0,12}",
        any_outcome(),
        option::of(any::<u64>()),
        any::<u32>(),
        any::<u32>(),
        vec(missing, 0..3),
        vec(result, 0..3),
    )
        .prop_map(
            |(request_id, outcome, snapshot, answered, total, missing, results)| Answer {
                request_id,
                outcome,
                snapshot,
                coverage: Coverage {
                    answered_count: answered,
                    total_count: total,
                    missing,
                },
                results,
            },
        )
}

/// A reader of an earlier version states no era and no version in force.
#[test]
fn fields_that_an_earlier_version_does_not_send_are_zero() {
    let changes = generated::StoreChanges {
        area: generated::StoreArea::Targets.into(),
        revision: 9,
        ..generated::StoreChanges::default()
    };
    let message = Some(generated::frame::Message::StoreChanges(changes));
    let frame = generated::Frame { message }.encode_to_vec();
    let Ok(Message::StoreChanges(decoded)) = decode(&frame) else {
        panic!("expected changes");
    };
    assert_eq!((decoded.era, decoded.revision), (0, 9));
}

/// An era that no later one could exceed would make the receiver ignore the store for good.
#[test]
fn an_era_that_cannot_be_exceeded_is_refused() {
    let changes = StoreChanges {
        area: StoreArea::Targets,
        era: u64::MAX,
        after_revision: 1,
        revision: 2,
        body: Bytes::new(),
    };
    let frame = encode(&Message::StoreChanges(changes));
    assert_eq!(decode(&frame), Err(DecodeError::Invalid("era")));
}
