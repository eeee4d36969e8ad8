//! What the cases share: ports, processes of the system, backends, and the record.

use std::{
    env,
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU16, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, store::Store};

/// Time after which a case that still runs is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case; the number is the exit status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
}

pub type Outcome = Result<Verdict, String>;

/// Process identifiers of the running instances, to end them when the case ends.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const SIGKILL: i32 = 9;

/// Log of what was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn open(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{at_s:9.4} {text}");
    }
}

/// Everything that a case has started.
pub struct World {
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub store: Store,
    pub store_address: SocketAddr,
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
}

/// Runs a case and ends the process with its verdict; 2 if it could not run.
pub fn run(case_folder: &Path, case: impl FnOnce(&mut World) -> Outcome) -> ! {
    let folder = env::temp_dir().join(format!("case-{}", process::id()));
    http::spawn({
        let folder = folder.clone();
        move || {
            thread::sleep(TIME_LIMIT);
            end(&folder, 2)
        }
    });
    let outcome = open(case_folder, &folder).and_then(|mut world| {
        let outcome = case(&mut world);
        world.record.line(&format!("verdict: {outcome:?}"));
        outcome
    });
    // Standard output may be closed.
    let _ = writeln!(io::stdout(), "{outcome:?}");
    end(&folder, outcome.map_or(2, |verdict| verdict as i32))
}

fn open(case_folder: &Path, folder: &Path) -> Result<World, String> {
    let text = |error: io::Error| error.to_string();
    fs::create_dir_all(folder).map_err(text)?;
    let record = Record::open(&case_folder.join("record.txt")).map_err(text)?;
    let store_address = free_address();
    Ok(World {
        record,
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        store: Store::open(store_address).map_err(text)?,
        store_address,
        folder: folder.to_owned(),
        seeds: Vec::new(),
    })
}

fn end(folder: &Path, status: i32) -> ! {
    for &id in RUNNING.lock().unwrap().iter() {
        signal(id, SIGKILL);
    }
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(folder);
    }
    process::exit(status)
}

fn signal(process: u32, signal: i32) {
    // SAFETY: `kill` takes two integers; the process is one that this program has started.
    unsafe { kill(process as i32, signal) };
}

fn forget(process: u32) {
    RUNNING
        .lock()
        .unwrap()
        .retain(|&running| running != process);
}

/// Returns a loopback address with a free port below the range of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let start = (process::id() * 389 % 10_000) as u16;
        let port = 20_000 + (start + offset) % 12_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// An instance of the system.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl World {
    /// Prepares an instance; the first ones are seeds. The settings are those of the template of
    /// the deploy file, with the figures of a small installation.
    pub fn instance(&mut self, name: &str, zone: &str, core_share: f64) -> Instance {
        let [front, operators, peers] = [free_address(), free_address(), free_address()];
        if self.seeds.len() < 3 {
            self.seeds.push(peers);
        }
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let settings = format!(
            r#"{{
  "instance": {{"name": "{name}", "zone": "{zone}", "cores": 1, "core_share": {core_share}}},
  "listen": {{"operators": "{operators}", "peers": "{peers}"}},
  "gateway": {{"listen": "{front}", "store": "{}", "seeds": [{}], "retry_ratio": 0.2,
    "retry_constant_count": 52, "retry_window_s": 10, "cold_factor": 1.5,
    "cold_constant_count": 5, "shutdown_limit_s": 6}},
  "once": {{"strikes_max_count": 3}},
  "fleet": {{"leave_quiet_ms": 1500}}
}}"#,
            self.store_address,
            seeds.join(", ")
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("cannot write the settings");
        Instance {
            name: name.to_owned(),
            front,
            operators,
            settings: path,
            child: None,
        }
    }

    /// Starts the process of an instance.
    pub fn start(&self, instance: &mut Instance) -> Result<(), String> {
        let log = instance.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log);
        let mut command = Command::new("target/release/balsamd");
        command.arg("--settings").arg(&instance.settings);
        command.stdin(Stdio::null());
        command.stdout(log.map_err(|error| error.to_string())?);
        // SAFETY: `prctl` with these arguments only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, u64::from(SIGKILL as u32));
                Ok(())
            });
        }
        let child = command.spawn();
        let child = child.map_err(|error| format!("cannot start balsamd: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        self.record
            .line(&format!("start {} pid={}", instance.name, child.id()));
        instance.child = Some(child);
        Ok(())
    }

    /// Registers a backend in the store.
    pub fn register(&self, backend: &Backend) {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = born_ms.unwrap_or_default().as_millis();
        let value = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Concurrency":{},"State":"ready","ColdLeftMs":0,"Sequence":1,"born":{born_ms}}}"#,
            backend.service, backend.address, backend.zone, backend.slots_count
        );
        self.store.put(&format!("servers/{}", backend.id), &value);
    }

    /// Waits until `/ready` answers 200.
    pub fn wait_ready(&self, instance: &Instance, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !is_ready(instance) {
            if Instant::now() >= until {
                return Err(format!("{} is not ready in time", instance.name));
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(&format!("ready {}", instance.name));
        Ok(())
    }
}

/// Returns whether `/ready` answers 200.
pub fn is_ready(instance: &Instance) -> bool {
    let request = http::request("GET", "/ready", &[("Host", "ready")], b"");
    let response = http::call(instance.operators, &request, Duration::from_secs(1));
    response.is_ok_and(|response| response.status() == 200)
}

impl Instance {
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let has_exited = matches!(child.try_wait(), Ok(Some(_)));
        if has_exited {
            // Its identifier may be used again.
            forget(child.id());
            self.child = None;
        }
        has_exited
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            let _ = child.kill();
            let _ = child.wait();
            forget(id);
        }
    }
}

/// A backend that runs a limited number of requests at once and queues the others.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots_count: u32,
    /// Work time of a request in microseconds.
    pub work_us: Arc<AtomicU64>,
    /// Requests that have begun to run.
    pub runs_count: Arc<AtomicU32>,
}

/// Counting semaphore.
#[derive(Default)]
struct Slots {
    running_count: Mutex<u32>,
    freed: Condvar,
}

impl Backend {
    /// Starts a backend; `body` builds the body of the answer to a request.
    pub fn open(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        slots_count: u32,
        work: Duration,
        body: impl Fn(&http::Message) -> Vec<u8> + Send + Sync + 'static,
    ) -> Result<Backend, String> {
        let backend = Backend {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: free_address(),
            slots_count,
            work_us: Arc::new(AtomicU64::new(work.as_micros() as u64)),
            runs_count: Arc::default(),
        };
        let (work_us, runs_count) = (backend.work_us.clone(), backend.runs_count.clone());
        let (id, record) = (backend.id.clone(), record.clone());
        let slots = Slots::default();
        let served = http::serve(backend.address, move |request| {
            let request_id = request.header("request-id").unwrap_or_default();
            if request
                .header("target-instance")
                .is_some_and(|named| named != id)
            {
                let headers = [("Request-Id", request_id), ("Not-Executed", "1")];
                return Some(http::response(421, &headers, b""));
            }
            let mut running_count = slots.running_count.lock().unwrap();
            while *running_count >= slots_count {
                running_count = slots.freed.wait(running_count).unwrap();
            }
            *running_count += 1;
            drop(running_count);
            runs_count.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("run {request_id} at {id}"));
            thread::sleep(Duration::from_micros(work_us.load(Ordering::Relaxed)));
            *slots.running_count.lock().unwrap() -= 1;
            slots.freed.notify_one();
            let seal = format!("{request_id}.{id}");
            let headers = [("Request-Id", request_id), ("Server-Seal", seal.as_str())];
            Some(http::response(200, &headers, &body(request)))
        });
        served.map_err(|error| error.to_string())?;
        Ok(backend)
    }
}
