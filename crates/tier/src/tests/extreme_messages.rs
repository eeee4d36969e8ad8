//! Messages of other instances with extreme values: none ends the process, and the next request is
//! handled.

use std::{borrow::Cow, net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use bytes::Bytes;
use model::{
    Configuration, Destination, Digest, Event, FrontEntry, HttpRequest, InstanceId, MemberRow,
    MemberState, MergedAnswer, Message, Observations, QuarantineUpdate, RateLimitUpdate,
    Registration, RelayedRequest, ServiceEntry, StoreArea, StoreBody, StoreRead, StoreRecord,
    StrikeUpdate, Timer,
};
use proptest::{collection::vec, option, prelude::*, sample::select, test_runner::RngSeed};

use super::fixture::settings;
use crate::{State, new_state, reduce};

/// Usual and extreme numbers.
fn number() -> impl Strategy<Value = u64> {
    select(vec![
        0,
        1,
        2,
        5,
        1_000,
        u64::from(u32::MAX),
        1 << 40,
        u64::MAX - 1,
        u64::MAX,
    ])
}

fn duration() -> impl Strategy<Value = Duration> {
    number().prop_map(Duration::from_millis)
}

fn address() -> impl Strategy<Value = SocketAddr> {
    select(vec![0_u16, 1, 7_000, u16::MAX]).prop_map(|port| ([127, 0, 0, 1], port).into())
}

fn text() -> impl Strategy<Value = String> {
    select(vec!["", "kranj", "entry-1", "i-1", "\u{0}", "a/../b"]).prop_map(str::to_owned)
}

fn member() -> impl Strategy<Value = MemberRow> {
    let states = vec![
        MemberState::Alive,
        MemberState::Suspected,
        MemberState::Leaving,
        MemberState::Gone,
    ];
    (
        text(),
        number(),
        address(),
        text(),
        number(),
        select(states),
    )
        .prop_map(
            |(name, incarnation, address, zone, counter, state)| MemberRow {
                understands_permits: true,
                id: InstanceId { name, incarnation },
                address,
                zone,
                // The conversion keeps the low bits, which reach the extremes too.
                capacity_millicores: counter as u32,
                counter,
                state,
            },
        )
}

fn strike() -> impl Strategy<Value = StrikeUpdate> {
    (number(), duration(), duration(), any::<bool>()).prop_map(
        |(id, sent_age, lost_age, is_cleared)| StrikeUpdate {
            id,
            service: id,
            sent_age,
            lost_age,
            is_cleared,
        },
    )
}

fn observations() -> impl Strategy<Value = Observations> {
    let quarantine = (number(), any::<bool>(), duration(), vec(strike(), 0..12)).prop_map(
        |(fingerprint, is_quarantined, remaining, strikes)| QuarantineUpdate {
            fingerprint,
            strikes_count: fingerprint as u32,
            is_quarantined,
            remaining,
            strikes,
        },
    );
    let limit = (text(), option::of(number()), duration()).prop_map(
        |(target_id, limit_per_1000_s, heard_age)| RateLimitUpdate {
            target_id,
            limit_per_1000_s,
            heard_age,
        },
    );
    (vec(quarantine, 0..3), vec(limit, 0..3)).prop_map(|(quarantine, rate_limits)| Observations {
        quarantine,
        rate_limits,
    })
}

fn digest() -> impl Strategy<Value = Digest> {
    let numbers = (number(), any::<bool>(), number(), duration());
    (member(), numbers, vec(member(), 0..5), observations()).prop_map(
        |(from, (sequence, wants_reply, revision, freshness_age), members, observations)| Digest {
            from,
            sequence,
            wants_reply,
            is_repeated: wants_reply,
            revision,
            version_in_force: revision,
            freshness_age,
            members,
            observations,
        },
    )
}

fn relayed() -> impl Strategy<Value = RelayedRequest> {
    let numbers = (
        address(),
        number(),
        number(),
        option::of(duration()),
        option::of(number()),
    );
    (numbers, option::of(duration()), text()).prop_map(
        |((reply_to, relay_id, version, goal, attempts), timeout, path)| RelayedRequest {
            reply_to,
            relay_id,
            version,
            request: Arc::new(HttpRequest {
                request_id: "r".to_owned(),
                method: "GET".to_owned(),
                host: "parts.example".to_owned(),
                path: format!("/{path}"),
                timeout,
                ..HttpRequest::default()
            }),
            goal,
            attempts_max_count: attempts.map(|count| count as u32),
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let answer = (number(), vec(text(), 0..3)).prop_map(|(count, proofs)| MergedAnswer {
        proofs: proofs.into_iter().map(Arc::from).collect(),
        missing_count: count as u32,
        body: Bytes::from_static(b"x"),
    });
    prop_oneof![
        digest().prop_map(Message::Digest),
        (address(), number()).prop_map(|(reply_to, at_least_revision)| Message::NoteWanted {
            reply_to,
            at_least_revision,
        }),
        number().prop_map(|revision| Message::Note {
            revision,
            body: Bytes::from_static(b"{}"),
        }),
        relayed().prop_map(Message::Relay),
        (number(), option::of(address())).prop_map(|(relay_id, answered_by)| {
            Message::RelayTaken {
                relay_id,
                answered_by,
            }
        }),
        (address(), number())
            .prop_map(|(reply_to, relay_id)| Message::RelayGranted { reply_to, relay_id }),
        (address(), number())
            .prop_map(|(reply_to, relay_id)| Message::RelayCancel { reply_to, relay_id }),
        (number(), option::of(answer), any::<bool>(), any::<bool>()).prop_map(
            |(relay_id, answer, is_unsent, is_unexecuted)| Message::RelayAnswer {
                relay_id,
                answered_by: None,
                answer,
                is_unsent,
                is_unexecuted,
            }
        ),
    ]
}

/// Returns the records of a store, with a front, a service and a target of the given numbers.
fn records(timeout: Duration, cold_for: Duration, count: u64) -> Vec<StoreRecord> {
    let count = count as u32;
    vec![
        StoreRecord::Configuration(Configuration {
            organisations: Vec::new(),
            version: 1,
            fronts: vec![FrontEntry {
                is_public: false,
                name: "search".to_owned(),
                host: "parts.example".to_owned(),
                prefix: "/".to_owned(),
                is_idempotent: true,
                timeout,
                goal: Some(timeout),
                rank: count,
                attempts_max_count: count,
                destination: Destination::Gather {
                    services: vec!["s".to_owned()],
                    records_count: count,
                    least_ratio: f64::from(count),
                },
            }],
            services: vec![ServiceEntry {
                name: "s".to_owned(),
                connections_max_count: count,
                cold_max_per_s: f64::from(count),
            }],
        }),
        StoreRecord::Target {
            target_id: "i-1".to_owned(),
            registration: Some(Registration {
                service: "s".to_owned(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: "kranj".to_owned(),
                slots_count: count,
                is_draining: false,
                cold_for,
                born_ms: u64::MAX,
            }),
        },
    ]
}

fn gateway_state(now: Instant, records: &[StoreRecord]) -> State {
    let mut settings = settings();
    settings.gateway = Some(settings::Gateway::default());
    let mut state = new_state(settings, 1, 1);
    let mut out = Vec::new();
    reduce(&mut state, now, Event::Started, &mut out);
    for area in [StoreArea::Operators, StoreArea::Targets] {
        let is_operators = area == StoreArea::Operators;
        let listed = records
            .iter()
            .filter(|record| matches!(record, StoreRecord::Configuration(_)) == is_operators);
        let event = Event::StoreAnswered {
            read: StoreRead::List {
                area,
                era: 0,
                after: None,
            },
            era: 0,
            records: Cow::Owned(listed.cloned().collect()),
            revision: u64::MAX,
            is_behind: false,
            next_page: None,
            published: StoreBody(Bytes::new()),
        };
        reduce(&mut state, now, event, &mut out);
    }
    state
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_message_of_another_instance_ends_the_process(
        messages in vec(message(), 1..6),
        timeout in duration(),
        cold_for in duration(),
        count in number(),
        has_gateway in any::<bool>(),
    ) {
        let mut now = Instant::now();
        let mut state = match has_gateway {
            true => gateway_state(now, &records(timeout, cold_for, count)),
            false => new_state(settings(), 1, 1),
        };
        let mut out = Vec::new();
        for message in &messages {
            now += Duration::from_millis(50);
            let message = Cow::Borrowed(message);
            reduce(&mut state, now, Event::Peer { message }, &mut out);
            let timers: Vec<Timer> = out
                .iter()
                .filter_map(|effect| match effect {
                    model::Effect::SetTimer { timer: timer @ Timer::Exchange(_), .. } => Some(*timer),
                    _ => None,
                })
                .collect();
            out.clear();
            for timer in timers {
                reduce(&mut state, now, Event::Timer(timer), &mut out);
            }
            reduce(&mut state, now, Event::Timer(Timer::Tick), &mut out);
        }
        prop_assert!(!out.contains(&model::Effect::Exit));
    }
}
