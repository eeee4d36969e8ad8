//! Some backends answer a few of their requests with a body that never ends, in chunks of one byte.

use std::{
    collections::HashSet,
    fs,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{Instance, Outcome, Record, Verdict, World, free_address},
};

/// Machines, with the searches per second that their zones' users send to each.
const MACHINES: [(&str, &str, f64); 3] = [
    ("front-domzale-1", "domzale", 10.9),
    ("front-domzale-2", "domzale", 10.9),
    ("front-kranj-1", "kranj", 21.1),
];
const SHARDS_COUNT: usize = 20;
const BACKENDS_PER_SHARD_COUNT: usize = 2;
const SLOTS_COUNT: u32 = 2;
const WORK: Duration = Duration::from_millis(20);
/// Every 4th backend (10 of 40) spoils answers: two of five.
const FAULTY_EVERY: usize = 4;
const ANSWERS_COUNT: usize = 5;
const SPOILED_COUNT: usize = 2;
/// Spells in which answers are spoiled, and the pause between them.
const SPELLS_COUNT: usize = 6;
const SPELL: Duration = Duration::from_millis(6_500);
const PAUSE: Duration = Duration::from_secs(3);
/// Rate of an endless body: a link of 1,000 Mbit/s.
const BYTES_PER_S: f64 = 125e6;
/// Memory of a machine; the platform kills a process that exceeds it.
const MEMORY_KIB: u64 = 260 * 1024;
/// Time after which the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Ends of a machine's processes, and machines with so many, that are a fault.
const FAULT_ENDS_COUNT: usize = 3;
const FAULT_MACHINES_COUNT: usize = 2;

pub fn run(world: &mut World) -> Outcome {
    let is_spoiling = Arc::new(AtomicBool::new(false));
    for index in 0..SHARDS_COUNT * BACKENDS_PER_SHARD_COUNT {
        let is_faulty = index % FAULTY_EVERY == 0;
        open_backend(world, index, is_faulty.then(|| is_spoiling.clone()))?;
    }
    world.store.put("op/config", &configuration());
    let mut machines = Vec::new();
    for (name, zone, _) in MACHINES {
        let mut instance = world.instance(name, zone, 0.25);
        world.start(&mut instance)?;
        machines.push(Machine {
            instance,
            kills_count: 0,
            killed_at: None,
            peak_kib: 0,
        });
    }
    for machine in &machines {
        world.wait_ready(&machine.instance, Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_secs(5));
    let traffic = Arc::new(Traffic::default());
    for (machine, (name, _, per_s)) in machines.iter().zip(MACHINES) {
        let (front, record, traffic) = (
            machine.instance.front,
            world.record.clone(),
            traffic.clone(),
        );
        http::spawn(move || send_searches(name, front, per_s, &record, &traffic));
    }
    for spell in 0..SPELLS_COUNT {
        if world.has_trouble {
            world
                .record
                .line(&format!("spell {spell}: answers are spoiled"));
            is_spoiling.store(true, Ordering::Relaxed);
        }
        watch(world, &mut machines, SPELL)?;
        is_spoiling.store(false, Ordering::Relaxed);
        watch(world, &mut machines, PAUSE)?;
    }
    traffic.is_over.store(true, Ordering::Relaxed);
    for machine in &machines {
        let text = format!(
            "{}: killed {} times for its memory, peak {} MiB",
            machine.instance.name,
            machine.kills_count,
            machine.peak_kib / 1024
        );
        world.record.line(&text);
    }
    let served_count = traffic.served_count.load(Ordering::Relaxed);
    let sent_count = traffic.sent_count.load(Ordering::Relaxed);
    world
        .record
        .line(&format!("served: {served_count} of {sent_count}"));
    let faulty = machines
        .iter()
        .filter(|machine| machine.kills_count >= FAULT_ENDS_COUNT);
    Ok(match faulty.count() >= FAULT_MACHINES_COUNT {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn service(shard: usize) -> String {
    format!("katalog-{shard:02}")
}

fn configuration() -> String {
    let names = (0..SHARDS_COUNT).map(|shard| format!("\"{}\"", service(shard)));
    let names: Vec<String> = names.collect();
    let services = names.iter();
    let services = services.map(|name| format!(r#"{{"Name":{name},"MaxConns":26,"ColdPerS":10}}"#));
    let services: Vec<String> = services.collect();
    format!(
        r#"{{"Version":4,"Routes":[{{"Name":"fitment-lookup","Host":"kits.example","Prefix":"/kits/",
"Kind":"idempotent","TimeoutMs":800,"GoalMs":150,"Attempts":2,"Priority":1,"Gather":[{}],"TopK":10,
"MinVersion":0.89}}],"Services":[{}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":5000,"IdleTimeoutMs":60000}}}}"#,
        names.join(","),
        services.join(",")
    )
}

/// A machine as the platform sees it.
struct Machine {
    instance: Instance,
    kills_count: usize,
    killed_at: Option<Instant>,
    peak_kib: u64,
}

/// Plays the platform for a time: kills processes that exceed their memory and starts them again.
fn watch(world: &World, machines: &mut [Machine], length: Duration) -> Result<(), String> {
    let until = Instant::now() + length;
    while Instant::now() < until {
        for machine in machines.iter_mut() {
            if let Some(at) = machine.killed_at {
                if at.elapsed() >= RESTART_AFTER {
                    world.start(&mut machine.instance)?;
                    machine.killed_at = None;
                }
                continue;
            }
            if machine.instance.has_exited() {
                return Err(format!("{} has ended", machine.instance.name));
            }
            let memory = memory(machine.instance.id());
            let peak_kib = memory.peak_kib.max(memory.now_kib + memory.unread_kib);
            machine.peak_kib = machine.peak_kib.max(peak_kib);
            if peak_kib > MEMORY_KIB {
                let name = &machine.instance.name;
                let text = format!(
                    "{name} is killed at {} MiB ({} resident, {} at most, {} received and not read)",
                    peak_kib / 1024,
                    memory.now_kib / 1024,
                    memory.peak_kib / 1024,
                    memory.unread_kib / 1024
                );
                world.record.line(&text);
                machine.instance.kill();
                machine.kills_count += 1;
                machine.killed_at = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// Memory of a process.
struct Memory {
    now_kib: u64,
    peak_kib: u64,
    /// Bytes that its connections have received and it has not read; they count as well.
    unread_kib: u64,
}

fn memory(process: u32) -> Memory {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        value.unwrap_or(0)
    };
    Memory {
        now_kib: field("VmRSS:"),
        peak_kib: field("VmHWM:"),
        unread_kib: unread_bytes(process) / 1024,
    }
}

/// Returns the length of the receive queues of a process's TCP connections.
fn unread_bytes(process: u32) -> u64 {
    let files = fs::read_dir(format!("/proc/{process}/fd"));
    let links = files.into_iter().flatten().flatten();
    let links = links.filter_map(|file| fs::read_link(file.path()).ok());
    let sockets = links.filter_map(|link| {
        let name = link.to_str()?.strip_prefix("socket:[")?;
        Some(name.trim_end_matches(']').to_owned())
    });
    let sockets: HashSet<String> = sockets.collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    // The columns are number, addresses, state, queues as TX:RX, and so on; the tenth is the inode.
    // For a listening port, the queue is a number of connections.
    let queues = lines.filter_map(|words| {
        let is_own = *words.get(3)? != "0A" && sockets.contains(*words.get(9)?);
        let (_, received) = words[4].split_once(':')?;
        u64::from_str_radix(received, 16).ok().filter(|_| is_own)
    });
    queues.sum()
}

/// What the users have sent and received.
#[derive(Default)]
struct Traffic {
    is_over: AtomicBool,
    sent_count: AtomicUsize,
    served_count: AtomicUsize,
}

/// Sends searches at a rate, each on a connection of its own.
fn send_searches(
    name: &str,
    front: SocketAddr,
    per_s: f64,
    record: &Record,
    traffic: &Arc<Traffic>,
) {
    while !traffic.is_over.load(Ordering::Relaxed) {
        let number = traffic.sent_count.fetch_add(1, Ordering::Relaxed);
        let (id, record, traffic) = (format!("{name}-{number}"), record.clone(), traffic.clone());
        http::spawn(move || {
            let headers = [
                ("Host", "kits.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "800"),
            ];
            let request = http::request("GET", "/kits/2f", &headers, b"");
            record.line(&format!("send {id}"));
            let answer = http::call(front, &request, Duration::from_secs(2));
            let text = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.to_string(),
            };
            record.line(&format!("{id}: {text}"));
            let is_served = answer.is_ok_and(|answer| answer.status() == 200);
            traffic
                .served_count
                .fetch_add(usize::from(is_served), Ordering::Relaxed);
        });
        thread::sleep(Duration::from_secs_f64(1.0 / per_s));
    }
}

/// Starts and registers a backend; a faulty one spoils answers while its flag is set.
fn open_backend(
    world: &World,
    index: usize,
    faulty: Option<Arc<AtomicBool>>,
) -> Result<(), String> {
    let (id, address) = (format!("i-{index}"), free_address());
    let service = service(index / BACKENDS_PER_SHARD_COUNT);
    let zone = ["ljubljana-a", "ljubljana-b"][index % BACKENDS_PER_SHARD_COUNT];
    let entry = format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Concurrency":{SLOTS_COUNT},"State":"ready","ColdLeftMs":0,"Sequence":1,"born":1790000000000}}"#
    );
    let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
    let (record, answers_count) = (world.record.clone(), Arc::new(AtomicUsize::new(0)));
    http::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            let (faulty, answers_count) = (faulty.clone(), answers_count.clone());
            http::spawn(move || {
                // A connection ends with its first error.
                let _ = serve(stream, &id, &record, faulty.as_deref(), &answers_count);
            });
        }
    });
    world.store.put(&format!("servers/i-{index}"), &entry);
    Ok(())
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    record: &Record,
    faulty: Option<&AtomicBool>,
    answers_count: &AtomicUsize,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read(&mut reader)? {
        let request_id = request.header("request-id").unwrap_or_default();
        record.line(&format!("run {request_id} at {id}"));
        thread::sleep(WORK);
        let seal = format!("{request_id}.{id}");
        let is_spoiling = faulty.is_some_and(|flag| flag.load(Ordering::Relaxed));
        let number = answers_count.fetch_add(1, Ordering::Relaxed);
        if is_spoiling && number % ANSWERS_COUNT < SPOILED_COUNT {
            record.line(&format!("endless answer to {request_id} at {id}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            return send_without_end(&mut stream);
        }
        let headers = [("Request-Id", request_id), ("Server-Seal", seal.as_str())];
        stream.write_all(&http::response(200, &headers, &[b'k'; 192]))?;
    }
    Ok(())
}

/// Sends chunks of one byte, at the rate of the link, until the caller closes.
fn send_without_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let chunks = b"1\r\nk\r\n".repeat(2_000);
    let started_at = Instant::now();
    let mut sent_bytes = 0.0;
    loop {
        stream.write_all(&chunks)?;
        sent_bytes += chunks.len() as f64;
        let due = Duration::from_secs_f64(sent_bytes / BYTES_PER_S);
        thread::sleep(due.saturating_sub(started_at.elapsed()));
    }
}
