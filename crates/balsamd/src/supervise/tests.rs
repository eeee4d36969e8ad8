//! What a panic of a task runs.

use std::{cell::Cell, rc::Rc};

use super::on_panic;

/// How a task ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Returns,
    Panics,
    IsAborted,
}

#[actix_rt::test]
async fn only_a_panic_runs_the_function() {
    for (end, is_run) in [
        (End::Returns, false),
        (End::Panics, true),
        (End::IsAborted, false),
    ] {
        let has_run = Rc::new(Cell::new(false));
        let flag = has_run.clone();
        let task = actix_rt::spawn(async move {
            let _guard = on_panic(move || flag.set(true));
            // The guard is held across an await, as in a task that waits.
            actix_rt::task::yield_now().await;
            match end {
                End::Returns => {}
                End::Panics => panic!("a test panics"),
                End::IsAborted => std::future::pending().await,
            }
        });
        if end == End::IsAborted {
            actix_rt::task::yield_now().await;
            task.abort();
        }
        let _ = task.await;
        assert_eq!(has_run.get(), is_run, "{end:?}");
    }
}
