//! The running rig.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::ExitStatus,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use awc::Client;
use model::Revision;
use note::Note;
use serde_json::json;
use tempfile::TempDir;

use crate::{
    InstancePlan, Plan, RigError, Signal, http,
    plan::first_note,
    process::{self, Process},
    programs, steer,
};

/// Time that a program may take to open its ports.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Line of the log that a program writes once its ports are open.
const LISTENING: &str = "event=listening";

/// Rigs that this process has opened, which sets them apart from each other.
static RIGS_COUNT: AtomicU32 = AtomicU32::new(0);

/// A fleet of running processes.
pub struct Rig {
    /// The configuration that was published last.
    pub note: Note,
    /// The platform's HTTP port.
    pub platform: SocketAddr,
    /// The port on which the stand-ins are steered.
    pub control: SocketAddr,
    /// Instances in the order of the plan.
    pub instances: Vec<Instance>,
    /// Client of the rig's own requests.
    pub client: Client,
    /// Directory of the programs.
    pub programs: PathBuf,
    /// Directory of the settings files and the first note.
    pub directory: TempDir,
    stand_in: Process,
    settings: serde_json::Value,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Callers' port.
    pub callers: SocketAddr,
    /// Operators' port.
    pub operators: SocketAddr,
    /// Port for other instances.
    pub peers: SocketAddr,
    process: Option<Process>,
}

impl Instance {
    /// Returns the latest lines of the instance's log.
    pub fn log_lines(&self) -> Vec<String> {
        self.process
            .as_ref()
            .map(process::log_lines)
            .unwrap_or_default()
    }
}

impl Rig {
    /// Ends every process and removes the rig's directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be ended.
    pub async fn close(self) -> Result<(), RigError> {
        let processes = self.instances.into_iter().filter_map(|one| one.process);
        for running in processes {
            process::kill(running).await?;
        }
        process::kill(self.stand_in).await?;
        let closed = self.directory.close();
        closed.map_err(|error| RigError::Io("remove the directory", error))
    }
}

/// Starts the stand-ins and every instance of a plan and waits until all are ready.
///
/// # Errors
///
/// Returns an error if a program cannot be built or does not become ready.
pub async fn open(plan: &Plan) -> Result<Rig, RigError> {
    let mut rig = open_stand_in(plan).await?;
    for instance in 0..rig.instances.len() {
        start(&mut rig, instance).await?;
    }
    for instance in 0..rig.instances.len() {
        wait_ready(&rig, instance, 1).await?;
    }
    Ok(rig)
}

/// Starts an instance that is not running and waits until its ports are open.
///
/// # Errors
///
/// Returns an error if the program does not open its ports.
pub async fn start(rig: &mut Rig, instance: usize) -> Result<(), RigError> {
    let one = &mut rig.instances[instance];
    let path = rig.directory.path().join(format!("{}.json", one.name));
    let settings = settings(one, rig.platform, &rig.settings);
    let written = fs::write(&path, settings.to_string());
    written.map_err(|error| RigError::Io("write a settings file", error))?;
    let arguments = ["--settings".to_owned(), path.display().to_string()];
    let mut running = process::spawn(&rig.programs.join("balsamd"), &one.name, &arguments)?;
    process::wait_line(&mut running, LISTENING, START_LIMIT).await?;
    one.process = Some(running);
    Ok(())
}

/// Kills an instance if it runs, and starts it again at the same addresses.
///
/// # Errors
///
/// Returns an error if the program does not open its ports.
pub async fn restart(rig: &mut Rig, instance: usize) -> Result<(), RigError> {
    if let Some(running) = rig.instances[instance].process.take() {
        process::kill(running).await?;
    }
    start(rig, instance).await
}

/// Sends a signal to an instance.
///
/// # Errors
///
/// Returns an error if the instance does not run.
pub fn signal(rig: &Rig, instance: usize, signal: Signal) -> Result<(), RigError> {
    let one = &rig.instances[instance];
    match &one.process {
        Some(running) => process::send_signal(running, signal),
        None => Err(RigError::NotRunning(one.name.clone())),
    }
}

/// Returns the process identifier of an instance.
///
/// # Errors
///
/// Returns an error if the instance does not run.
pub fn process_id(rig: &Rig, instance: usize) -> Result<i32, RigError> {
    let one = &rig.instances[instance];
    let id = one.process.as_ref().and_then(process::id);
    id.ok_or_else(|| RigError::NotRunning(one.name.clone()))
}

/// Waits for the end of an instance.
///
/// # Errors
///
/// Returns an error if it does not end within the limit.
pub async fn wait_exit(
    rig: &mut Rig,
    instance: usize,
    limit: Duration,
) -> Result<ExitStatus, RigError> {
    let one = &mut rig.instances[instance];
    let Some(running) = &mut one.process else {
        return Err(RigError::NotRunning(one.name.clone()));
    };
    let status = process::wait_exit(running, limit).await?;
    one.process = None;
    Ok(status)
}

/// Waits until an instance is ready and has accepted a revision or a later one.
///
/// # Errors
///
/// Returns an error if that does not happen in time.
pub async fn wait_ready(rig: &Rig, instance: usize, revision: Revision) -> Result<(), RigError> {
    let wait_ms = START_LIMIT.as_millis();
    let path = format!("/ready?revision={revision}&wait_ms={wait_ms}");
    http::get(&rig.client, rig.instances[instance].operators, &path).await?;
    Ok(())
}

async fn open_stand_in(plan: &Plan) -> Result<Rig, RigError> {
    let programs = match &plan.programs {
        Some(programs) => programs.clone(),
        None => programs::build(plan.profile)?,
    };
    let directory = TempDir::new().map_err(|error| RigError::Io("create a directory", error))?;
    let mut ports = Ports::open();
    let platform = ports.next()?;
    let control = ports.next()?;
    let mut instances = Vec::new();
    for instance in &plan.instances {
        instances.push(new_instance(instance, &mut ports)?);
    }
    let mut addresses = ports.take(targets_count(plan))?.into_iter();
    let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let note = first_note(plan, &mut || addresses.next().unwrap_or(unassigned));
    ports.close();
    let note_path = directory.path().join("note.json");
    let written = fs::write(&note_path, json!(note).to_string());
    written.map_err(|error| RigError::Io("write the note", error))?;
    let arguments = [
        "--note".to_owned(),
        note_path.display().to_string(),
        "--platform".to_owned(),
        platform.to_string(),
        "--control".to_owned(),
        control.to_string(),
        "--seed".to_owned(),
        plan.seed.to_string(),
    ];
    let program = programs.join("balsamfake");
    let mut stand_in = process::spawn(&program, "balsamfake", &arguments)?;
    process::wait_line(&mut stand_in, LISTENING, START_LIMIT).await?;
    let rig = Rig {
        note,
        platform,
        control,
        instances,
        client: Client::builder().disable_redirects().finish(),
        programs,
        directory,
        stand_in,
        settings: plan.settings.clone(),
    };
    steer::publish_instances(&rig, &instance_list(&rig)).await?;
    Ok(rig)
}

fn new_instance(plan: &InstancePlan, ports: &mut Ports) -> Result<Instance, RigError> {
    Ok(Instance {
        name: plan.name.clone(),
        zone: plan.zone.clone(),
        callers: ports.next()?,
        operators: ports.next()?,
        peers: ports.next()?,
        process: None,
    })
}

fn targets_count(plan: &Plan) -> u32 {
    let counts = plan.fronts.iter();
    counts
        .map(|front| front.services_count * front.targets_count)
        .sum()
}

fn instance_list(rig: &Rig) -> serde_json::Value {
    let rows = rig.instances.iter().map(
        |one| json!({"name": one.name, "zone": one.zone, "peers": one.peers, "state": "live"}),
    );
    rows.collect()
}

fn settings(
    instance: &Instance,
    platform: SocketAddr,
    areas: &serde_json::Value,
) -> serde_json::Value {
    let mut settings = areas.clone();
    settings["instance"] = json!({"name": instance.name, "zone": instance.zone});
    settings["listen"] = json!({
        "callers": instance.callers,
        "operators": instance.operators,
        "peers": instance.peers,
    });
    settings["platform"]["address"] = json!(platform);
    settings
}

/// Free ports of the rig's own loopback address, held until all are known.
struct Ports {
    address: IpAddr,
    held: Vec<TcpListener>,
}

impl Ports {
    fn open() -> Ports {
        let rig = RIGS_COUNT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 1 + (rig % 250) as u8, high, low.max(1));
        Ports {
            address: address.into(),
            held: Vec::new(),
        }
    }

    fn next(&mut self) -> Result<SocketAddr, RigError> {
        let failed = |error| RigError::Io("find a free port", error);
        let listener = TcpListener::bind((self.address, 0)).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        self.held.push(listener);
        Ok(address)
    }

    fn take(&mut self, count: u32) -> Result<Vec<SocketAddr>, RigError> {
        (0..count).map(|_| self.next()).collect()
    }

    /// Gives the ports up, so that the programs can open them.
    fn close(self) {
        drop(self.held);
    }
}
