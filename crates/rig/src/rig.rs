//! The rig: starts, signals and ends its processes.

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
    InstancePlan, Plan, RigError, Signal, control, http,
    plan::initial_note,
    process::{self, Process},
    programs,
};

/// Time that a program may take to open its ports, and an instance to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Part of the log line that a program writes once its ports are open.
const LISTENING_EVENT: &str = "event=listening";

/// Number of rigs that this process has opened; gives each of them a loopback address of its own.
static RIGS_COUNT: AtomicU32 = AtomicU32::new(0);

/// A fleet of running processes.
pub struct Rig {
    /// The last published configuration.
    pub note: Note,
    /// The platform's HTTP port.
    pub platform: SocketAddr,
    /// Control port of the fake platform and the fake targets, which sets their behaviour.
    pub control: SocketAddr,
    /// Instances, in the order of the plan.
    pub instances: Vec<Instance>,
    /// HTTP client for requests to the processes.
    pub client: Client,
    /// Directory that holds the built programs.
    pub programs: PathBuf,
    /// Temporary directory of the settings files and the initial note.
    pub directory: TempDir,
    stand_in: Process,
    settings: serde_json::Value,
}

/// An instance of a rig.
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
    /// Peers' port, for other instances.
    pub peers: SocketAddr,
    /// Present from the start of the process until it has been killed or its exit awaited.
    process: Option<Process>,
}

impl Instance {
    /// Returns the latest log lines of the instance's current process.
    pub fn log_lines(&self) -> Vec<String> {
        self.process
            .as_ref()
            .map(process::log_lines)
            .unwrap_or_default()
    }
}

impl Rig {
    /// Kills every process and removes the rig's directory.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be killed or the directory cannot be removed.
    pub async fn close(self) -> Result<(), RigError> {
        let processes = self
            .instances
            .into_iter()
            .filter_map(|instance| instance.process);
        for process in processes {
            process::kill(process).await?;
        }
        process::kill(self.stand_in).await?;
        let removed = self.directory.close();
        removed.map_err(|error| RigError::Io("remove the temporary directory", error))
    }
}

/// Starts the fake platform, the fake targets and every instance of a plan, and waits until all
/// instances are ready.
///
/// # Errors
///
/// Returns an error if a program cannot be built or does not become ready.
pub async fn open(plan: &Plan) -> Result<Rig, RigError> {
    let mut rig = open_fake_platform(plan).await?;
    for index in 0..rig.instances.len() {
        start(&mut rig, index).await?;
    }
    for index in 0..rig.instances.len() {
        wait_ready(&rig, index, 1).await?;
    }
    Ok(rig)
}

/// Starts an instance that is not running and waits until its ports are open.
///
/// # Errors
///
/// Returns an error if the program cannot be started or does not open its ports in time.
pub async fn start(rig: &mut Rig, index: usize) -> Result<(), RigError> {
    let instance = &mut rig.instances[index];
    let path = rig.directory.path().join(format!("{}.json", instance.name));
    let settings = settings(instance, rig.platform, &rig.settings);
    let written = fs::write(&path, settings.to_string());
    written.map_err(|error| RigError::Io("write a settings file", error))?;
    let arguments = ["--settings".to_owned(), path.display().to_string()];
    let mut process = process::spawn(&rig.programs.join("balsamd"), &instance.name, &arguments)?;
    process::wait_log_line(&mut process, LISTENING_EVENT, START_TIMEOUT).await?;
    instance.process = Some(process);
    Ok(())
}

/// Kills an instance if it is running, and starts it again at the same addresses.
///
/// # Errors
///
/// Returns an error if the process cannot be killed or started, or does not open its ports in time.
pub async fn restart(rig: &mut Rig, index: usize) -> Result<(), RigError> {
    if let Some(process) = rig.instances[index].process.take() {
        process::kill(process).await?;
    }
    start(rig, index).await
}

/// Sends a signal to an instance.
///
/// # Errors
///
/// Returns an error if the instance is not running or the signal cannot be sent.
pub fn signal(rig: &Rig, index: usize, signal: Signal) -> Result<(), RigError> {
    let instance = &rig.instances[index];
    match &instance.process {
        Some(process) => process::send_signal(process, signal),
        None => Err(RigError::NotRunning(instance.name.clone())),
    }
}

/// Returns the process identifier of an instance.
///
/// # Errors
///
/// Returns an error if the instance is not running.
pub fn process_id(rig: &Rig, index: usize) -> Result<i32, RigError> {
    let instance = &rig.instances[index];
    let id = instance.process.as_ref().and_then(process::id);
    id.ok_or_else(|| RigError::NotRunning(instance.name.clone()))
}

/// Waits until an instance exits, and returns its exit status.
///
/// # Errors
///
/// Returns an error if the instance is not running or does not exit within the limit.
pub async fn wait_exit(
    rig: &mut Rig,
    index: usize,
    limit: Duration,
) -> Result<ExitStatus, RigError> {
    let instance = &mut rig.instances[index];
    let Some(process) = &mut instance.process else {
        return Err(RigError::NotRunning(instance.name.clone()));
    };
    let status = process::wait_exit(process, limit).await?;
    instance.process = None;
    Ok(status)
}

/// Waits until an instance is ready at a revision or a later one.
///
/// # Errors
///
/// Returns an error if the instance does not become ready in time.
pub async fn wait_ready(rig: &Rig, index: usize, revision: Revision) -> Result<(), RigError> {
    let wait_ms = START_TIMEOUT.as_millis();
    let path = format!("/ready?revision={revision}&wait_ms={wait_ms}");
    http::get(&rig.client, rig.instances[index].operators, &path).await?;
    Ok(())
}

/// Starts the fake platform with the list of instances, and the fake targets; starts no instance.
async fn open_fake_platform(plan: &Plan) -> Result<Rig, RigError> {
    let programs = match &plan.programs {
        Some(programs) => programs.clone(),
        None => programs::build(plan.profile)?,
    };
    let directory =
        TempDir::new().map_err(|error| RigError::Io("create a temporary directory", error))?;
    let mut ports = PortReservations::new();
    let platform = ports.reserve()?;
    let control = ports.reserve()?;
    let mut instances = Vec::new();
    for instance in &plan.instances {
        instances.push(new_instance(instance, &mut ports)?);
    }
    let mut addresses = ports.reserve_many(targets_count(plan))?.into_iter();
    let unassigned = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let note = initial_note(plan, &mut || addresses.next().unwrap_or(unassigned));
    ports.release();
    let note_path = directory.path().join("note.json");
    let written = fs::write(&note_path, json!(note).to_string());
    written.map_err(|error| RigError::Io("write the initial note", error))?;
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
    process::wait_log_line(&mut stand_in, LISTENING_EVENT, START_TIMEOUT).await?;
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
    control::publish_instances(&rig, &instance_list(&rig)).await?;
    Ok(rig)
}

fn new_instance(plan: &InstancePlan, ports: &mut PortReservations) -> Result<Instance, RigError> {
    Ok(Instance {
        name: plan.name.clone(),
        zone: plan.zone.clone(),
        callers: ports.reserve()?,
        operators: ports.reserve()?,
        peers: ports.reserve()?,
        process: None,
    })
}

fn targets_count(plan: &Plan) -> u32 {
    let fronts = plan.fronts.iter();
    fronts
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
    overrides: &serde_json::Value,
) -> serde_json::Value {
    let mut settings = overrides.clone();
    settings["instance"]["name"] = json!(instance.name);
    settings["instance"]["zone"] = json!(instance.zone);
    settings["listen"] = json!({
        "callers": instance.callers,
        "operators": instance.operators,
        "peers": instance.peers,
    });
    settings["platform"]["address"] = json!(platform);
    settings
}

/// Reserves free ports on the rig's loopback address. The listeners stay bound until every port is
/// chosen, so that no port is chosen twice.
struct PortReservations {
    address: IpAddr,
    listeners: Vec<TcpListener>,
}

impl PortReservations {
    fn new() -> PortReservations {
        let rig = RIGS_COUNT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 1 + (rig % 250) as u8, high, low.max(1));
        PortReservations {
            address: address.into(),
            listeners: Vec::new(),
        }
    }

    fn reserve(&mut self) -> Result<SocketAddr, RigError> {
        let failed = |error| RigError::Io("reserve a free port", error);
        let listener = TcpListener::bind((self.address, 0)).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        self.listeners.push(listener);
        Ok(address)
    }

    fn reserve_many(&mut self, count: u32) -> Result<Vec<SocketAddr>, RigError> {
        (0..count).map(|_| self.reserve()).collect()
    }

    /// Closes the listeners, so that the programs can bind the ports.
    fn release(self) {
        drop(self.listeners);
    }
}
