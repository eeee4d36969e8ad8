//! Simulated fleet of gateways in front of targets, which a request can crash.

mod store;

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptCall, AttemptKey, AttemptReply, CallFailure, CallerKey, Effect, Event, HttpRequest,
    HttpResponse, Message, ReplyStatus, StoreBody, StoreFailure, StoreRead, StoreRecord,
    TargetReport, Timer,
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

use super::fixture::settings;
use crate::{State, new_state, reduce};
use store::{end_watch, publish, read_store, registration};
pub(crate) use store::{publish_configuration, publish_draining, publish_evacuation};

/// Path of the request that crashes its targets, and prefix of others that do.
pub(crate) const CRASHING_PATH: &str = "/crash";
pub(crate) const HOST: &str = "parts.example";

const FIRST_PEER_PORT: u16 = 40_000;
const FIRST_TARGET_PORT: u16 = 20_000;
const SEEDS_MAX_COUNT: usize = 3;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// Time from an attempt's start to its arrival, and from a reply to its receipt.
const TARGET_DELAY: Duration = Duration::from_millis(1);
const PEER_DELAY_MAX: Duration = Duration::from_millis(3);
/// Time after its crash at which a target is back under another identifier.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// Time after which the store drops the registration of a target that no longer renews it.
const LAPSE_DELAY: Duration = Duration::from_millis(3_600);

/// How a target ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Its connections are closed.
    Reset,
    /// Its connections are closed after the first bytes of the reply.
    MidReply,
    /// Its connections fall silent and it accepts no others.
    Silent,
}

/// Behaviour of the targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behaviour {
    pub(crate) ending: Ending,
    /// Time from the start of the execution of the crashing request to the crash.
    pub(crate) crash_after: Duration,
    /// Execution time of every other request.
    pub(crate) work: Duration,
    /// Ratio of other requests whose connection is closed without a reply.
    pub(crate) lost_ratio: f64,
    /// Services whose targets execute the crashing request without a crash.
    pub(crate) immune_services_count: usize,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            ending: Ending::Reset,
            crash_after: Duration::from_millis(10),
            work: Duration::from_millis(5),
            lost_ratio: 0.0,
            immune_services_count: 0,
        }
    }
}

pub(crate) struct Instance {
    pub(crate) state: State,
    pub(crate) is_up: bool,
    /// Instances with different values cannot reach each other.
    pub(crate) partition: u32,
    pub(crate) paused_until: Option<Instant>,
    /// When it was started, resumed, cut off or connected again, oldest first.
    pub(crate) disturbances: Vec<Instant>,
    run: u64,
    /// Reads of the store in flight, by number.
    reads: BTreeMap<u64, InFlightRead>,
    /// Number of reads of the store.
    pub(crate) reads_count: u64,
}

/// A read of the store that has not ended.
struct InFlightRead {
    read: StoreRead,
    /// Whether the store has sent its answer.
    is_answered: bool,
    /// Whether nothing arrives on its connection any more.
    is_silent: bool,
}

pub(crate) struct Target {
    pub(crate) service: String,
    pub(crate) is_up: bool,
    /// Rate limit that it names in its replies.
    pub(crate) rate_limit_per_s: Option<f64>,
    run: u64,
    running: Vec<(usize, AttemptKey)>,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) instance: usize,
    pub(crate) target: usize,
    pub(crate) path: String,
    pub(crate) request_id: String,
}

/// Processor time of the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Layout {
    /// All instances are alike and share the zones out.
    Equal,
    /// All instances are in one zone; those with an even index are large, the others relay to them.
    Relays,
}

/// How messages travel between instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) delay_max: Duration,
    /// Share of the messages that arrive twice, each copy after its own delay.
    pub(crate) duplicate_ratio: f64,
    /// Whether replies state their sender; those of an earlier version do not.
    pub(crate) states_sender: bool,
}

enum Scheduled {
    Start,
    Request(CallerKey, HttpRequest),
    Leave(CallerKey),
    Timer(Timer),
    Message(Message),
    PeerUnreachable(SocketAddr),
    /// The answer of the store to a read, with its revision.
    StoreAnswer(u64, Vec<StoreRecord>, u64),
    /// The store ends a watch without changes.
    WatchEnd(u64),
    ReadTimeout(u64),
    Arrive(AttemptCall),
    Reply(AttemptKey, ReplyStatus, TargetAnswer),
    Fail(AttemptKey, CallFailure),
    Crash(usize, u64),
    Lapse(usize, u64),
    Restart(usize),
}

/// What a target answers.
#[derive(Clone, Debug, Default)]
struct TargetAnswer {
    rate_limit_per_s: Option<f64>,
    /// `REQUEST/TARGET`, so that an answer shows whose parts it contains.
    proof: String,
}

pub(crate) struct Fleet {
    pub(crate) instances: Vec<Instance>,
    pub(crate) targets: Vec<Target>,
    pub(crate) behaviour: Behaviour,
    pub(crate) now: Instant,
    pub(crate) arrivals: Vec<Arrival>,
    /// Time and target of every crash.
    pub(crate) crashes: Vec<(Instant, usize)>,
    pub(crate) responses: HashMap<CallerKey, HttpResponse>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) link: Link,
    /// Request identifier of each caller's request.
    pub(crate) request_ids: HashMap<CallerKey, String>,
    layout: Layout,
    limits: Limits,
    services_count: usize,
    attempts_max_count: u32,
    history: Vec<(u64, StoreRecord)>,
    /// Connections between instances, as sender and receiver, on which nothing arrives.
    silent_connections: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Instant, u64), (usize, u64, Scheduled)>,
    queued_count: u64,
    requests_count: u64,
}

/// Limits of a deployment: contact, configuration, evacuation and drain.
pub(crate) type Limits = [Duration; 4];

/// Size of a fleet and its targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) instances_count: usize,
    /// Number of services; with more than one, the front gathers from all of them.
    pub(crate) services_count: usize,
    /// Number of targets of each service.
    pub(crate) targets_count: usize,
    /// Number of targets that a part of a request may be sent to.
    pub(crate) attempts_max_count: u32,
}

/// Returns a fleet of equal instances that know their configuration and each other.
pub(crate) fn fleet(size: Size, seed: u64) -> Fleet {
    fleet_with_layout(size, Layout::Equal, seed)
}

/// Returns a fleet whose instances know their configuration and each other.
pub(crate) fn fleet_with_layout(size: Size, layout: Layout, seed: u64) -> Fleet {
    let defaults = settings::Gateway::default();
    let limits = [
        defaults.contact_limit,
        defaults.configuration_limit,
        defaults.evacuation_limit,
        defaults.drain_limit,
    ];
    fleet_with_limits(size, layout, limits, seed)
}

/// Returns a fleet with the limits of a deployment, whose instances know their configuration and each
/// other.
pub(crate) fn fleet_with_limits(size: Size, layout: Layout, limits: Limits, seed: u64) -> Fleet {
    let Size {
        instances_count,
        services_count,
        targets_count,
        attempts_max_count,
    } = size;
    let now = Instant::now();
    let instances = (0..instances_count).map(|index| Instance {
        state: instance_state(layout, limits, instances_count, index, 1, seed),
        is_up: true,
        partition: 0,
        paused_until: None,
        disturbances: vec![now],
        run: 1,
        reads: BTreeMap::new(),
        reads_count: 0,
    });
    let targets = (0..services_count * targets_count).map(|index| Target {
        service: service_name(index % services_count),
        is_up: true,
        rate_limit_per_s: None,
        run: 1,
        running: Vec::new(),
    });
    let mut fleet = Fleet {
        instances: instances.collect(),
        targets: targets.collect(),
        behaviour: Behaviour::default(),
        now,
        arrivals: Vec::new(),
        crashes: Vec::new(),
        responses: HashMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        link: Link {
            delay_max: PEER_DELAY_MAX,
            duplicate_ratio: 0.0,
            states_sender: true,
        },
        request_ids: HashMap::new(),
        layout,
        limits,
        services_count,
        attempts_max_count,
        history: Vec::new(),
        silent_connections: BTreeSet::new(),
        queue: BTreeMap::new(),
        queued_count: 0,
        requests_count: 0,
    };
    publish_configuration(&mut fleet, 1);
    for index in 0..fleet.targets.len() {
        publish(&mut fleet, registration(index, 1));
    }
    for index in 0..instances_count {
        schedule(&mut fleet, Duration::ZERO, index, Scheduled::Start);
    }
    run_for(&mut fleet, Duration::from_secs(6));
    fleet
}

/// Starts an instance anew, with nothing remembered.
pub(crate) fn restart_instance(fleet: &mut Fleet, index: usize) {
    let run = fleet.instances[index].run + 1;
    let seed = fleet.rng.random();
    let state = instance_state(
        fleet.layout,
        fleet.limits,
        fleet.instances.len(),
        index,
        run,
        seed,
    );
    let instance = &mut fleet.instances[index];
    instance.state = state;
    instance.run = run;
    instance.is_up = true;
    instance.disturbances.push(fleet.now);
    instance.reads.clear();
    for target in &mut fleet.targets {
        target.running.retain(|(owner, _)| *owner != index);
    }
    schedule(fleet, Duration::ZERO, index, Scheduled::Start);
}

/// Suspends an instance; its events are delivered at the end.
pub(crate) fn pause_instance(fleet: &mut Fleet, index: usize, duration: Duration) {
    let until = fleet.now + duration;
    fleet.instances[index].paused_until = Some(until);
    fleet.instances[index].disturbances.push(until);
}

/// Moves an instance to a partition.
pub(crate) fn cut_instance(fleet: &mut Fleet, index: usize, partition: u32) {
    fleet.instances[index].partition = partition;
    fleet.instances[index].disturbances.push(fleet.now);
}

/// Makes the open connections of some instances to the store fall silent; new ones work.
pub(crate) fn silence_store(fleet: &mut Fleet, instances: impl Iterator<Item = usize>) {
    for index in instances {
        for read in fleet.instances[index].reads.values_mut() {
            read.is_silent = true;
        }
    }
}

/// Makes all open connections between instances fall silent; new ones work.
pub(crate) fn silence_peers(fleet: &mut Fleet) {
    let count = fleet.instances.len();
    let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
    fleet.silent_connections.extend(pairs);
}

/// Sends a caller's request to an instance.
pub(crate) fn send_request(fleet: &mut Fleet, index: usize, path: &str) -> CallerKey {
    fleet.requests_count += 1;
    let number = fleet.requests_count;
    let caller = CallerKey::from(KeyData::from_ffi(number << 32 | number));
    let request = HttpRequest {
        request_id: format!("r-{number}"),
        method: "GET".to_owned(),
        host: HOST.to_owned(),
        path: path.to_owned(),
        timeout: Some(Duration::from_millis(1_200)),
        ..HttpRequest::default()
    };
    let request_id = request.request_id.clone();
    fleet.request_ids.insert(caller, request_id);
    let event = Scheduled::Request(caller, request);
    schedule(fleet, Duration::ZERO, index, event);
    caller
}

/// Ends some targets at once, whatever they execute.
pub(crate) fn crash_targets(fleet: &mut Fleet, targets: impl Iterator<Item = usize>) {
    for target in targets {
        let run = fleet.targets[target].run;
        crash(fleet, target, run);
    }
}

/// Lets a caller leave before its answer.
pub(crate) fn leave(fleet: &mut Fleet, index: usize, caller: CallerKey) {
    schedule(fleet, Duration::ZERO, index, Scheduled::Leave(caller));
}

/// Returns a random running instance.
pub(crate) fn random_instance(fleet: &mut Fleet) -> usize {
    let instances = fleet.instances.iter().enumerate();
    let running = instances.filter(|(_, instance)| instance.is_up);
    let running: Vec<usize> = running.map(|(index, _)| index).collect();
    *running
        .choose(&mut fleet.rng)
        .expect("an instance is running")
}

/// Returns whether an instance was disturbed within `duration` before a time.
pub(crate) fn is_disturbed(
    fleet: &Fleet,
    instance: usize,
    at: Instant,
    duration: Duration,
) -> bool {
    let mut disturbances = fleet.instances[instance].disturbances.iter();
    disturbances.any(|&disturbed_at| disturbed_at <= at && at <= disturbed_at + duration)
}

/// Returns the arrivals of the crashing request.
pub(crate) fn crashing_arrivals(fleet: &Fleet) -> impl Iterator<Item = &Arrival> {
    let arrivals = fleet.arrivals.iter();
    arrivals.filter(|arrival| arrival.path.starts_with(CRASHING_PATH))
}

/// Runs the fleet for a time.
pub(crate) fn run_for(fleet: &mut Fleet, duration: Duration) {
    let end = fleet.now + duration;
    while let Some(entry) = fleet.queue.first_entry() {
        let (at, _) = *entry.key();
        if at > end {
            break;
        }
        let (index, run, event) = entry.remove();
        fleet.now = fleet.now.max(at);
        deliver(fleet, index, run, event);
    }
    fleet.now = end;
}

fn instance_state(
    layout: Layout,
    limits: Limits,
    instances_count: usize,
    index: usize,
    run: u64,
    seed: u64,
) -> State {
    let mut settings = settings();
    let (zone, capacity_millicores) = match layout {
        Layout::Equal => (ZONES[index % ZONES.len()], 250),
        Layout::Relays if index.is_multiple_of(2) => (ZONES[0], 500),
        Layout::Relays => (ZONES[0], 120),
    };
    settings.instance.zone = zone.to_owned();
    settings.instance.name = format!("{zone}-{index}");
    settings.instance.capacity_millicores = capacity_millicores;
    settings.listen.peers = peer_address(index);
    settings.once.strikes_max_count = 3;
    let seeds_count = instances_count.min(SEEDS_MAX_COUNT);
    let [
        contact_limit,
        configuration_limit,
        evacuation_limit,
        drain_limit,
    ] = limits;
    settings.gateway = Some(settings::Gateway {
        peers: peer_address(index),
        seeds: (0..seeds_count).map(peer_address).collect(),
        retry_ratio: 0.2,
        retry_constant_count: 52,
        contact_limit,
        configuration_limit,
        evacuation_limit,
        drain_limit,
        ..settings::Gateway::default()
    });
    new_state(settings, run, seed ^ (run << 16 | index as u64))
}

fn peer_address(index: usize) -> SocketAddr {
    let port = FIRST_PEER_PORT + u16::try_from(index).expect("the fleet is small");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn target_address(index: usize) -> SocketAddr {
    let port = FIRST_TARGET_PORT + u16::try_from(index).expect("there are few targets");
    SocketAddr::from(([127, 0, 0, 2], port))
}

fn target_id(index: usize, run: u64) -> String {
    format!("i-{index}-{run}")
}

fn service_name(index: usize) -> String {
    format!("shard-{index}")
}

fn schedule(fleet: &mut Fleet, delay: Duration, index: usize, event: Scheduled) {
    fleet.queued_count += 1;
    let run = fleet.instances[index].run;
    let key = (fleet.now + delay, fleet.queued_count);
    fleet.queue.insert(key, (index, run, event));
}

fn deliver(fleet: &mut Fleet, index: usize, run: u64, event: Scheduled) {
    match event {
        Scheduled::Arrive(call) => return arrive(fleet, index, run, &call),
        Scheduled::Crash(target, target_run) => return crash(fleet, target, target_run),
        Scheduled::WatchEnd(number) => return end_watch(fleet, index, number),
        Scheduled::Lapse(target, target_run) => {
            let target_id = target_id(target, target_run);
            return publish(fleet, |_| StoreRecord::TargetRemoved {
                target_id: target_id.clone(),
            });
        }
        Scheduled::Restart(target) => {
            fleet.targets[target].is_up = true;
            fleet.targets[target].run += 1;
            let run = fleet.targets[target].run;
            return publish(fleet, registration(target, run));
        }
        _ => {}
    }
    let instance = &fleet.instances[index];
    let is_stale = instance.run != run && !matches!(event, Scheduled::Message(_));
    if !instance.is_up || is_stale {
        return;
    }
    if let Some(until) = instance.paused_until.filter(|until| *until > fleet.now) {
        let delay = until - fleet.now;
        return schedule(fleet, delay, index, event);
    }
    match event {
        Scheduled::Start => step(fleet, index, Event::Started),
        Scheduled::Request(caller, request) => {
            let request = std::sync::Arc::new(request);
            step(fleet, index, Event::HttpRequest { caller, request });
        }
        Scheduled::Leave(caller) => step(fleet, index, Event::CallerGone { caller }),
        Scheduled::Timer(timer) => step(fleet, index, Event::Timer(timer)),
        Scheduled::Message(Message::StoreChanges(shared)) => {
            let body = &shared.body;
            let records: Vec<StoreRecord> = match body.is_empty() {
                true => Vec::new(),
                false => serde_json::from_slice(body).expect("the sender encoded records"),
            };
            let event = Event::SharedStoreChanges {
                area: shared.area,
                era: shared.era,
                after_revision: shared.after_revision,
                revision: shared.revision,
                records: Cow::Owned(records),
            };
            step(fleet, index, event);
        }
        Scheduled::Message(message) => {
            let message = Cow::Owned(message);
            step(fleet, index, Event::Peer { message });
        }
        Scheduled::PeerUnreachable(address) => {
            step(fleet, index, Event::PeerUnreachable { address });
        }
        Scheduled::StoreAnswer(number, records, revision) => {
            let reads = &mut fleet.instances[index].reads;
            if reads.get(&number).is_none_or(|read| read.is_silent) {
                return;
            }
            let Some(InFlightRead { read, .. }) = reads.remove(&number) else {
                return;
            };
            let published = serde_json::to_vec(&records).expect("records are plain data");
            let event = Event::StoreAnswered {
                read,
                era: 0,
                records: Cow::Owned(records),
                revision,
                is_behind: false,
                next_page: None,
                published: StoreBody(Bytes::from(published)),
            };
            step(fleet, index, event);
        }
        Scheduled::ReadTimeout(number) => {
            if let Some(InFlightRead { read, .. }) = fleet.instances[index].reads.remove(&number) {
                let failure = StoreFailure::Unreachable;
                let era = 0;
                step(fleet, index, Event::StoreFailed { read, failure, era });
            }
        }
        Scheduled::Reply(attempt, status, answer) => {
            let reply = AttemptReply {
                status,
                code: 200,
                proof: Some(&answer.proof),
                headers: Cow::Borrowed(&[]),
                body: Bytes::new(),
                report: TargetReport {
                    rate_limit_per_s: answer.rate_limit_per_s,
                    ..TargetReport::default()
                },
            };
            step(fleet, index, Event::AttemptReplied { attempt, reply });
        }
        Scheduled::Fail(attempt, failure) => {
            step(fleet, index, Event::AttemptFailed { attempt, failure });
        }
        Scheduled::Arrive(_)
        | Scheduled::WatchEnd(_)
        | Scheduled::Crash(..)
        | Scheduled::Lapse(..)
        | Scheduled::Restart(_) => {}
    }
}

fn step(fleet: &mut Fleet, index: usize, event: Event<'_>) {
    let mut out = Vec::new();
    let now = fleet.now;
    reduce(&mut fleet.instances[index].state, now, event, &mut out);
    for effect in out {
        run_effect(fleet, index, effect);
    }
}

fn run_effect(fleet: &mut Fleet, index: usize, effect: Effect) {
    match effect {
        Effect::Send { address, message } => send_message(fleet, index, address, message),
        Effect::SetTimer { timer, after } => schedule(fleet, after, index, Scheduled::Timer(timer)),
        Effect::ReadStore { read, timeout } => read_store(fleet, index, read, timeout),
        Effect::Reconnect { address } => {
            let to = usize::from(address.port() - FIRST_PEER_PORT);
            fleet.silent_connections.remove(&(index, to));
        }
        Effect::Attempt(call) => schedule(fleet, TARGET_DELAY, index, Scheduled::Arrive(call)),
        Effect::DropAttempt { attempt, .. } => {
            for target in &mut fleet.targets {
                target
                    .running
                    .retain(|&running| running != (index, attempt));
            }
        }
        Effect::Respond { caller, response } => {
            fleet.responses.insert(caller, *response);
        }
        _ => {}
    }
}

fn send_message(fleet: &mut Fleet, from: usize, address: SocketAddr, mut message: Message) {
    if !fleet.link.states_sender
        && let Message::RelayTaken { answered_by, .. } | Message::RelayAnswer { answered_by, .. } =
            &mut message
    {
        *answered_by = None;
    }
    let to = usize::from(address.port() - FIRST_PEER_PORT);
    if !fleet.instances[to].is_up {
        let event = Scheduled::PeerUnreachable(address);
        return schedule(fleet, PEER_DELAY_MAX, from, event);
    }
    if fleet.instances[to].partition != fleet.instances[from].partition {
        return;
    }
    if fleet.silent_connections.contains(&(from, to)) {
        return;
    }
    let Link {
        delay_max,
        duplicate_ratio,
        ..
    } = fleet.link;
    let is_doubled = duplicate_ratio > 0.0 && fleet.rng.random_bool(duplicate_ratio);
    for _ in 0..1 + usize::from(is_doubled) {
        let delay = delay_max.mul_f64(fleet.rng.random_range(0.3..1.0));
        schedule(fleet, delay, to, Scheduled::Message(message.clone()));
    }
}

fn arrive(fleet: &mut Fleet, index: usize, run: u64, call: &AttemptCall) {
    if fleet.instances[index].run != run {
        return;
    }
    let target = usize::from(call.address.port() - FIRST_TARGET_PORT);
    let behaviour = fleet.behaviour;
    let attempt = call.attempt;
    if !fleet.targets[target].is_up {
        if behaviour.ending != Ending::Silent {
            let event = Scheduled::Fail(attempt, CallFailure::ConnectRefused);
            schedule(fleet, TARGET_DELAY, index, event);
        }
        return;
    }
    if *call.target_id != *target_id(target, fleet.targets[target].run) {
        let answer = TargetAnswer::default();
        let event = Scheduled::Reply(attempt, ReplyStatus::Misdirected, answer);
        return schedule(fleet, TARGET_DELAY, index, event);
    }
    fleet.arrivals.push(Arrival {
        at: fleet.now,
        instance: index,
        target,
        path: call.request.path.clone(),
        request_id: call.request.request_id.clone(),
    });
    fleet.targets[target].running.push((index, attempt));
    let is_immune = target % fleet.services_count < behaviour.immune_services_count;
    if call.request.path.starts_with(CRASHING_PATH) && !is_immune {
        let run = fleet.targets[target].run;
        let event = Scheduled::Crash(target, run);
        return schedule(fleet, behaviour.crash_after, index, event);
    }
    let event = match fleet.rng.random_bool(behaviour.lost_ratio) {
        true => Scheduled::Fail(attempt, CallFailure::ConnectionLost),
        false => {
            let answer = TargetAnswer {
                rate_limit_per_s: fleet.targets[target].rate_limit_per_s,
                proof: format!("{}/{}", call.request.request_id, call.target_id),
            };
            Scheduled::Reply(attempt, ReplyStatus::Done, answer)
        }
    };
    schedule(fleet, behaviour.work + TARGET_DELAY, index, event);
}

/// Ends a target, unless it has restarted meanwhile.
fn crash(fleet: &mut Fleet, target: usize, run: u64) {
    if !fleet.targets[target].is_up || fleet.targets[target].run != run {
        return;
    }
    fleet.crashes.push((fleet.now, target));
    fleet.targets[target].is_up = false;
    let running = std::mem::take(&mut fleet.targets[target].running);
    for (index, attempt) in running {
        let failure = match fleet.behaviour.ending {
            Ending::Reset => CallFailure::ConnectionLost,
            Ending::MidReply => CallFailure::Truncated,
            Ending::Silent => continue,
        };
        schedule(
            fleet,
            TARGET_DELAY,
            index,
            Scheduled::Fail(attempt, failure),
        );
    }
    schedule(fleet, LAPSE_DELAY, 0, Scheduled::Lapse(target, run));
    schedule(fleet, RESTART_DELAY, 0, Scheduled::Restart(target));
}
