//! The machines of the system: one process of the deploy file on each.

use std::env;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Time in which all machines have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Child,
}

impl Drop for Machine {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Settings of a machine that differ between machines.
pub struct Spec {
    pub name: String,
    pub zone: String,
    /// Address at which it finds the store.
    pub store: SocketAddr,
}

/// Starts a process for each machine, with the settings of a small deployment.
pub fn start(program: &Path, directory: &Path, specs: &[Spec]) -> io::Result<Vec<Machine>> {
    let addresses: Vec<[SocketAddr; 3]> = free_addresses(specs.len())?;
    let seeds = addresses
        .iter()
        .take(3)
        .map(|own| format!("\"{}\"", own[2]));
    let seeds = seeds.collect::<Vec<String>>().join(",");
    let zones = specs.iter().map(|spec| format!("\"{}\"", spec.zone));
    let mut zones: Vec<String> = zones.collect();
    zones.dedup();
    let zones = zones.join(",");
    let mut machines = Vec::new();
    for (spec, [front, ready, control]) in specs.iter().zip(addresses) {
        let (name, zone, store) = (&spec.name, &spec.zone, spec.store);
        // The template of the deploy file, filled in from the sheet of the small installation.
        let settings = format!(
            r#"{{
  "instance": {{"name": "{name}", "zone": "{zone}", "cores": 1, "core_share": 0.25, "memory_mb": 260, "descriptors_max_count": 4100}},
  "listen": {{"operators": "{ready}", "peers": "{control}"}},
  "gateway": {{"listen": "{front}", "store": "{store}", "seeds": [{seeds}], "retry_ratio": 0.2, "retry_constant_count": 58, "retry_window_s": 10, "cold_factor": 1.5, "cold_constant_count": 5, "shutdown_limit_s": 6}},
  "once": {{"strikes_max_count": 3}},
  "fleet": {{"leave_quiet_ms": 1500, "zones": [{zones}]}}
}}
"#
        );
        fs::write(directory.join(format!("{name}.json")), settings)?;
        machines.push(Machine {
            name: name.clone(),
            front,
            ready,
            process: spawn(program, directory, name)?,
        });
    }
    Ok(machines)
}

/// Starts the process of a machine whose settings were written, as the deploy file has it.
pub fn spawn(program: &Path, directory: &Path, name: &str) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(directory.join(format!("{name}.log")))?;
    // The platform passes on no other variables.
    let passed_on = ["PATH", "HOME", "LANG"].into_iter();
    let variables = passed_on.filter_map(|name| Some((name, env::var_os(name)?)));
    Command::new(program)
        .env_clear()
        .envs(variables)
        .arg("--settings")
        .arg(directory.join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Waits until all machines report that they are ready.
pub fn wait_ready(machines: &[Machine]) -> bool {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until {
        if machines.iter().all(|machine| is_ready(machine.ready)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Asks a machine whether it is ready, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut connection = Connection::new(stream);
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if connection.write(request.as_bytes()).is_err() {
        return false;
    }
    let answer = connection.read();
    matches!(answer, Ok(Some(answer)) if answer.status() == Some(200))
}

fn free_addresses(count: usize) -> io::Result<Vec<[SocketAddr; 3]>> {
    let mut listeners = Vec::new();
    for _ in 0..3 * count {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let addresses: io::Result<Vec<SocketAddr>> =
        listeners.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses?;
    let triples = addresses.chunks(3).map(|own| [own[0], own[1], own[2]]);
    Ok(triples.collect())
}
