//! A panic in a vital task: the process ends at once with a log line, the host starts it again, and
//! the next process serves and ends on SIGTERM. Debug builds panic at SIGUSR1 and SIGUSR2.

use std::time::Duration;

use rig::{RigError, Signal, plan};

/// Time in which a process that has panicked must have ended.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// `EX_SOFTWARE` of `sysexits.h`.
const EXIT_PANICKED: i32 = 70;

/// Guards against a process that stays alive after a panic and serves nothing.
#[actix_rt::test]
async fn a_panic_ends_the_process_and_the_next_one_serves() -> Result<(), RigError> {
    for signal in [Signal::PanicActor, Signal::PanicTask] {
        let mut rig = rig::open(&plan(&["north"], 1)).await?;
        rig::signal(&rig, 0, signal)?;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let lines = rig.instances[0].log_lines();
        let is_logged = lines.iter().any(|line| line.contains("task-panicked"));
        assert!(is_logged, "{signal:?}: {lines:?}");
        let status = rig::wait_exit(&mut rig, 0, EXIT_TIMEOUT).await?;
        assert_eq!(status.code(), Some(EXIT_PANICKED), "{signal:?}");
        rig::start(&mut rig, 0).await?;
        rig::wait_ready(&rig, 0, 1).await?;
        let reply = rig::query(&rig, 0, "parts", &[], "{}").await?;
        assert_eq!(reply.status, 200, "{reply:?}");
        rig::signal(&rig, 0, Signal::Terminate)?;
        let status = rig::wait_exit(&mut rig, 0, 4 * EXIT_TIMEOUT).await?;
        assert!(status.success(), "{status:?}");
        rig.close().await?;
    }
    Ok(())
}
