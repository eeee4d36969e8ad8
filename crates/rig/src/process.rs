//! A child process: start, log lines, signals and exit.

use std::{
    collections::VecDeque,
    path::Path,
    process::{ExitStatus, Stdio},
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdout, Command},
    sync::watch,
    time::timeout,
};

use crate::RigError;

/// Number of latest log lines that are kept for error messages and tests.
const LOG_LINES_MAX_COUNT: usize = 2000;

/// A signal for a process of the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shuts down gracefully.
    Terminate,
    /// SIGKILL: ends at once.
    Kill,
    /// SIGSTOP: pauses the process.
    Stop,
    /// SIGCONT: resumes a paused process.
    Continue,
    /// SIGUSR1: makes the actor of a debug build panic.
    PanicActor,
    /// SIGUSR2: makes another vital task of a debug build panic.
    PanicTask,
}

/// A running child process.
#[derive(Debug)]
pub(crate) struct Process {
    name: String,
    child: Child,
    lines: watch::Receiver<VecDeque<String>>,
}

/// Starts a program and collects its standard output as its log.
pub(crate) fn spawn(program: &Path, name: &str, arguments: &[String]) -> Result<Process, RigError> {
    let mut child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .kill_on_drop(true)
        .spawn()
        .map_err(|error| RigError::Io("start a program", error))?;
    let (sender, lines) = watch::channel(VecDeque::new());
    if let Some(log) = child.stdout.take() {
        actix_rt::spawn(collect_lines(log, sender));
    }
    Ok(Process {
        name: name.to_owned(),
        child,
        lines,
    })
}

async fn collect_lines(log: ChildStdout, sender: watch::Sender<VecDeque<String>>) {
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        sender.send_modify(|kept| {
            if kept.len() == LOG_LINES_MAX_COUNT {
                kept.pop_front();
            }
            kept.push_back(line);
        });
    }
}

/// Waits until the log of the process has a line that contains a text.
pub(crate) async fn wait_log_line(
    process: &mut Process,
    text: &'static str,
    limit: Duration,
) -> Result<(), RigError> {
    let has_line = |lines: &VecDeque<String>| lines.iter().any(|line| line.contains(text));
    let is_found = matches!(
        timeout(limit, process.lines.wait_for(has_line)).await,
        Ok(Ok(_))
    );
    if is_found {
        return Ok(());
    }
    let lines = last_lines(process);
    Err(RigError::NoLogLine(process.name.clone(), text, lines))
}

/// Returns the latest log lines, up to [`LOG_LINES_MAX_COUNT`].
pub(crate) fn log_lines(process: &Process) -> Vec<String> {
    process.lines.borrow().iter().cloned().collect()
}

/// Returns the process identifier, or `None` if the exit of the process was awaited.
pub(crate) fn id(process: &Process) -> Option<i32> {
    process.child.id().and_then(|id| i32::try_from(id).ok())
}

/// Sends a signal to the process.
pub(crate) fn send_signal(process: &Process, signal: Signal) -> Result<(), RigError> {
    let Some(pid) = id(process).and_then(rustix::process::Pid::from_raw) else {
        return Err(RigError::NotRunning(process.name.clone()));
    };
    let signal = match signal {
        Signal::Terminate => rustix::process::Signal::TERM,
        Signal::Kill => rustix::process::Signal::KILL,
        Signal::Stop => rustix::process::Signal::STOP,
        Signal::Continue => rustix::process::Signal::CONT,
        Signal::PanicActor => rustix::process::Signal::USR1,
        Signal::PanicTask => rustix::process::Signal::USR2,
    };
    rustix::process::kill_process(pid, signal)
        .map_err(|error| RigError::Io("send a signal", error.into()))
}

/// Waits until the process exits.
pub(crate) async fn wait_exit(
    process: &mut Process,
    limit: Duration,
) -> Result<ExitStatus, RigError> {
    match timeout(limit, process.child.wait()).await {
        Ok(status) => status.map_err(|error| RigError::Io("wait for a process", error)),
        Err(_) => Err(RigError::ExitTimeout(process.name.clone())),
    }
}

/// Kills the process and waits until it has exited.
pub(crate) async fn kill(mut process: Process) -> Result<(), RigError> {
    let killed = process.child.kill().await;
    killed.map_err(|error| RigError::Io("kill a process", error))
}

fn last_lines(process: &Process) -> String {
    let lines = process.lines.borrow();
    let last = lines.iter().skip(lines.len().saturating_sub(5));
    last.map(String::as_str).collect::<Vec<_>>().join("\n")
}
