//! Simulated instances that exchange permits over a network with faults. Views of the fleet change
//! at each instance after a delay of its own, as gossip does.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{CallerKey, Message, UsageCap};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

use crate::{
    Candidate, FleetView, Output, Quota, forget, new_state, on_answer, on_pause, on_question,
    on_return, on_wait_timer, request, set_caps, set_view, tick,
};

pub(crate) const ORGANISATION: &str = "acme";
const TICK: Duration = Duration::from_millis(200);
const TIMER: Duration = Duration::from_millis(20);
const WAIT_MAX: Duration = Duration::from_millis(60);
/// Longest time until an instance has learned of a change of the fleet.
const GOSSIP_MAX_MS: u64 = 2_000;

pub(crate) struct Node {
    pub(crate) quota: Quota,
    pub(crate) is_up: bool,
    pub(crate) frozen_until: Option<Instant>,
    started_at: Instant,
    run: u64,
    cap: Option<UsageCap>,
    /// Members that this instance counts as candidates.
    known: BTreeSet<usize>,
    /// Whether the view has to be stated again at the next tick.
    is_view_old: bool,
}

enum Item {
    Tick,
    Timer(CallerKey),
    Request,
    Message(Message),
    Learn(usize, bool),
    Cap(Option<UsageCap>),
}

pub(crate) struct Sim {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) zones: Vec<String>,
    pub(crate) loss_ratio: f64,
    pub(crate) duplicate_ratio: f64,
    pub(crate) delay_max: Duration,
    /// Pairs of sender and receiver that cannot communicate.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) rng: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), (usize, u64, Item)>,
    queued_count: u64,
    callers_count: u64,
    /// Times at which permits were spent.
    pub(crate) spent: Vec<Instant>,
    /// Times of all requests.
    pub(crate) arrivals: Vec<Instant>,
    pub(crate) over_cap_count: u64,
    pub(crate) unreachable_count: u64,
    pub(crate) messages_count: u64,
    pub(crate) bytes_count: u64,
}

pub(crate) fn sim(nodes_count: usize, zones_count: usize, cap: UsageCap, seed: u64) -> Sim {
    let now = Instant::now();
    let mut sim = Sim {
        nodes: Vec::new(),
        now,
        start: now,
        zones: (0..zones_count)
            .map(|zone| format!("zone-{zone}"))
            .collect(),
        loss_ratio: 0.0,
        duplicate_ratio: 0.0,
        delay_max: Duration::from_millis(3),
        cuts: BTreeSet::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        queue: BTreeMap::new(),
        queued_count: 0,
        callers_count: 0,
        spent: Vec::new(),
        arrivals: Vec::new(),
        over_cap_count: 0,
        unreachable_count: 0,
        messages_count: 0,
        bytes_count: 0,
    };
    for index in 0..nodes_count {
        sim.nodes.push(Node {
            quota: new_state(address(index), seed ^ index as u64),
            is_up: true,
            frozen_until: None,
            started_at: now,
            run: 0,
            cap: Some(cap),
            known: (0..nodes_count).collect(),
            is_view_old: true,
        });
    }
    for index in 0..nodes_count {
        open(&mut sim, index);
    }
    sim
}

/// Gives a new process its view and caps.
fn open(sim: &mut Sim, index: usize) {
    let seed = sim.rng.random();
    let node = &mut sim.nodes[index];
    node.quota = new_state(address(index), seed);
    node.started_at = sim.now;
    node.run += 1;
    node.is_up = true;
    node.frozen_until = None;
    update_view(sim, index);
    let cap = sim.nodes[index].cap;
    handle(sim, index, Item::Cap(cap));
    let offset = Duration::from_millis(sim.rng.random_range(0..200));
    push(sim, offset, index, Item::Tick);
}

pub(crate) fn name(index: usize) -> String {
    format!("front-{index}")
}

fn address(index: usize) -> SocketAddr {
    (
        [127, 0, 0, 1],
        10_000 + u16::try_from(index).expect("few instances"),
    )
        .into()
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

/// Kills a process; the others go on counting it, since it has not left.
pub(crate) fn kill(sim: &mut Sim, index: usize) {
    sim.nodes[index].is_up = false;
    sim.nodes[index].run += 1;
}

/// Starts a process again at the same address, which knows the given members at first.
pub(crate) fn restart(sim: &mut Sim, index: usize, known: BTreeSet<usize>) {
    let nodes_count = sim.nodes.len();
    sim.nodes[index].known = known;
    open(sim, index);
    for member in 0..nodes_count {
        learn(sim, index, member, true);
    }
}

/// Announces that a member leaves, or joins, to everyone, which learn of it after a while.
pub(crate) fn announce(sim: &mut Sim, member: usize, is_present: bool) {
    if !is_present {
        sim.nodes[member].known.remove(&member);
        update_view(sim, member);
    }
    for index in 0..sim.nodes.len() {
        if index != member {
            learn(sim, index, member, is_present);
        }
    }
}

fn learn(sim: &mut Sim, index: usize, member: usize, is_present: bool) {
    let delay = Duration::from_millis(sim.rng.random_range(10..GOSSIP_MAX_MS));
    push(sim, delay, index, Item::Learn(member, is_present));
}

pub(crate) fn freeze(sim: &mut Sim, index: usize, duration: Duration) {
    sim.nodes[index].frozen_until = Some(sim.now + duration);
}

/// Publishes a cap; instances have it at once or up to five seconds later.
pub(crate) fn publish(sim: &mut Sim, cap: Option<UsageCap>) {
    for index in 0..sim.nodes.len() {
        let delay = Duration::from_millis(sim.rng.random_range(0..5_000));
        sim.nodes[index].cap = cap;
        push(sim, delay, index, Item::Cap(cap));
    }
}

pub(crate) fn cut_zone(sim: &mut Sim, zone: usize) {
    let (zones, nodes) = (sim.zones.len(), sim.nodes.len());
    for (a, b) in (0..nodes).flat_map(|a| (0..nodes).map(move |b| (a, b))) {
        if (a % zones == zone) != (b % zones == zone) {
            sim.cuts.insert((a, b));
        }
    }
}

/// Sends requests at a rate to some instances for a time.
pub(crate) fn run(sim: &mut Sim, duration: Duration, per_s: f64, entries: &[usize]) {
    let end = sim.now + duration;
    let mut at = 0.0;
    loop {
        // Exponential intervals: callers are independent of each other.
        at += -sim.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / per_s;
        // Without a demand, the first interval is infinite.
        if at >= duration.as_secs_f64() {
            break;
        }
        let entry = entries[sim.rng.random_range(0..entries.len())];
        push(sim, Duration::from_secs_f64(at), entry, Item::Request);
    }
    while let Some(next) = sim.queue.first_entry() {
        let (at, _) = *next.key();
        if at > end {
            break;
        }
        let (index, run, item) = next.remove();
        sim.now = sim.now.max(at);
        let node = &mut sim.nodes[index];
        // Messages reach the next process at the same address; what belongs to a process does not.
        let is_external = matches!(item, Item::Message(_) | Item::Request | Item::Cap(_));
        if !node.is_up || (node.run != run && !is_external) {
            continue;
        }
        match node.frozen_until {
            Some(until) if until > sim.now => {
                sim.queued_count += 1;
                let run = sim.nodes[index].run;
                let number = sim.queued_count;
                sim.queue.insert((until, number), (index, run, item));
                continue;
            }
            Some(_) => {
                node.frozen_until = None;
                on_pause(&mut node.quota, sim.now);
                node.is_view_old = true;
            }
            None => {}
        }
        handle(sim, index, item);
    }
    sim.now = end;
}

fn push(sim: &mut Sim, after: Duration, index: usize, item: Item) {
    sim.queued_count += 1;
    let run = sim.nodes[index].run;
    let key = (sim.now + after, sim.queued_count);
    sim.queue.insert(key, (index, run, item));
}

fn handle(sim: &mut Sim, index: usize, item: Item) {
    let now = sim.now;
    let node = &mut sim.nodes[index];
    let mut out = Vec::new();
    match item {
        Item::Tick => {
            // Views of 300 members are costly to compare, and most ticks change nothing.
            if node.is_view_old {
                node.is_view_old = false;
                update_view(sim, index);
            }
            tick(&mut sim.nodes[index].quota, now, TICK, &mut out);
            push(sim, TICK, index, Item::Tick);
        }
        Item::Timer(caller) => {
            if on_wait_timer(&mut node.quota, now, caller, &mut out) {
                push(sim, TIMER, index, Item::Timer(caller));
            }
        }
        Item::Request => {
            sim.callers_count += 1;
            let number = sim.callers_count;
            let caller = CallerKey::from(KeyData::from_ffi(number << 32 | number & 0xffff_ffff));
            sim.arrivals.push(now);
            if request(
                &mut node.quota,
                now,
                ORGANISATION,
                caller,
                WAIT_MAX,
                &mut out,
            ) {
                push(sim, TIMER, index, Item::Timer(caller));
            } else {
                sim.spent.push(now);
            }
            if sim.callers_count.is_multiple_of(97) {
                // A caller that disconnects while it may be waiting.
                let is_done = out.iter().any(|output| {
                    matches!(output, Output::Admitted { .. } | Output::Refused { .. })
                });
                if !is_done {
                    forget(&mut sim.nodes[index].quota, caller);
                }
            }
        }
        Item::Message(message) => match message {
            Message::PermitsWanted {
                reply_to,
                questions,
            } => {
                for question in &questions {
                    on_question(&mut node.quota, now, reply_to, question, &mut out);
                }
            }
            Message::PermitsGranted {
                answered_by,
                answers,
            } => {
                for answer in &answers {
                    on_answer(&mut node.quota, now, answered_by, answer, &mut out);
                }
            }
            Message::PermitsReturned {
                returned_by,
                returns,
            } => {
                for permits in &returns {
                    on_return(&mut node.quota, now, returned_by, permits);
                }
            }
            _ => {}
        },
        Item::Learn(member, is_present) => {
            match is_present {
                true => node.known.insert(member),
                false => node.known.remove(&member),
            };
            node.is_view_old = true;
        }
        Item::Cap(cap) => {
            let cap = cap.map(|cap| (ORGANISATION, cap));
            set_caps(&mut node.quota, now, cap.into_iter(), &mut out);
        }
    }
    for output in out {
        run_output(sim, index, output);
    }
}

fn run_output(sim: &mut Sim, index: usize, output: Output) {
    let own = address(index);
    match output {
        Output::Admitted { .. } => sim.spent.push(sim.now),
        Output::Refused { refusal, .. } => match refusal {
            crate::Refusal::OverCap(_) => sim.over_cap_count += 1,
            crate::Refusal::Unreachable => sim.unreachable_count += 1,
        },
        Output::Ask { issuer, question } => {
            let message = Message::PermitsWanted {
                reply_to: own,
                questions: vec![question],
            };
            send(sim, index, issuer, message);
        }
        // The simulation has no connections that could be dead.
        Output::Unanswered { .. } => {}
        Output::Answer { holder, answer } => {
            let message = Message::PermitsGranted {
                answered_by: own,
                answers: vec![answer],
            };
            send(sim, index, holder, message);
        }
        Output::Return { issuer, permits } => {
            let message = Message::PermitsReturned {
                returned_by: own,
                returns: vec![permits],
            };
            send(sim, index, issuer, message);
        }
    }
}

fn send(sim: &mut Sim, from: usize, to: SocketAddr, message: Message) {
    sim.messages_count += 1;
    // Four bytes of length precede each frame.
    sim.bytes_count += wire::encode(&message).len() as u64 + 4;
    let to = index_of(to);
    if sim.cuts.contains(&(from, to)) {
        return;
    }
    let copies_count = 1 + usize::from(sim.rng.random_bool(sim.duplicate_ratio));
    for _ in 0..copies_count {
        if sim.rng.random_bool(sim.loss_ratio) {
            continue;
        }
        let delay = sim.delay_max.mul_f64(sim.rng.random_range(0.1..1.0));
        push(sim, delay, to, Item::Message(message.clone()));
    }
}

fn update_view(sim: &mut Sim, index: usize) {
    let zones_count = sim.zones.len();
    let names: Vec<String> = (0..sim.nodes.len()).map(name).collect();
    let node = &mut sim.nodes[index];
    let known = node.known.clone();
    let candidates = known.iter().map(|&member| Candidate {
        name: &names[member],
        zone: &sim.zones[member % zones_count],
        address: address(member),
        capacity_millicores: 120 + 380 * (member as u32 % 2),
    });
    let candidates: Vec<Candidate<'_>> = candidates.collect();
    let view = FleetView {
        own_name: &names[index],
        own_zone: &sim.zones[index % zones_count],
        zones: &sim.zones,
        started_at: node.started_at,
        is_alone: names.len() == 1,
        has_heard: known.len() > 1,
        candidates: &candidates,
    };
    set_view(&mut node.quota, sim.now, &view);
}

/// Returns the highest ratio of the requests in any window of 5 s to the bound.
pub(crate) fn worst_ratio(sim: &Sim, cap: &UsageCap, from: Instant) -> f64 {
    let bound = (cap.per_s * 5.0 + cap.burst_count) * 1.25 + 20.0;
    let mut window: VecDeque<Instant> = VecDeque::new();
    let mut worst_count = 0;
    let mut spent: Vec<Instant> = sim.spent.iter().copied().filter(|&at| at >= from).collect();
    spent.sort();
    for at in spent {
        window.push_back(at);
        while window
            .front()
            .is_some_and(|&first| at - first > Duration::from_secs(5))
        {
            window.pop_front();
        }
        worst_count = worst_count.max(window.len());
    }
    worst_count as f64 / bound
}

/// Returns what one bucket with the whole cap, empty at first, admits of the same arrivals.
pub(crate) fn permitted_count(sim: &Sim, cap: &UsageCap, ready: Instant, from: Instant) -> u64 {
    let (mut level, mut last, mut count) = (0.0_f64, ready, 0);
    let mut arrivals = sim.arrivals.clone();
    arrivals.sort();
    for at in arrivals {
        let elapsed = at.saturating_duration_since(last);
        level = (level + elapsed.as_secs_f64() * cap.per_s).min(cap.burst_count.max(1.0));
        last = last.max(at);
        if level >= 1.0 {
            level -= 1.0;
            count += u64::from(at >= from);
        }
    }
    count
}
