//! What a panic leaves behind.
//!
//! A task that the process cannot serve without (the actor, the timers, the ports' accept loops, the
//! signal handler) ends the process, so that the host starts it again. A task of one connection,
//! call or read ends alone, and reports its end as a failure, so that nothing waits for it.

use std::{panic, process, thread};

use model::{Level, LogLine};

/// Exit code of a process that a panic has ended: `EX_SOFTWARE` of `sysexits.h`.
const EXIT_PANICKED: i32 = 70;

/// Runs a function if it is dropped while its thread unwinds from a panic.
///
/// A task that holds one runs the function when it panics, but not when it ends or is aborted.
pub struct OnPanic<F: FnOnce()>(Option<F>);

/// Returns a guard that runs `function` if the task that holds it panics.
pub fn on_panic<F: FnOnce()>(function: F) -> OnPanic<F> {
    OnPanic(Some(function))
}

/// Returns a guard that ends the process if the task that holds it panics.
pub fn exit_on_panic() -> OnPanic<fn()> {
    on_panic(exit)
}

impl<F: FnOnce()> Drop for OnPanic<F> {
    fn drop(&mut self) {
        let function = self.0.take().filter(|_| thread::panicking());
        if let Some(function) = function {
            function();
        }
    }
}

/// Logs every panic with its place, in addition to the message on standard error.
pub fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let message = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let line = LogLine::new(Level::Warn, "task-panicked")
            .with("place", place.as_str())
            .with("message", message.unwrap_or_default());
        logs::write(&line);
        print(info);
    }));
}

/// Ends the process after a panic.
fn exit() {
    logs::flush();
    process::exit(EXIT_PANICKED);
}

#[cfg(test)]
mod tests;
