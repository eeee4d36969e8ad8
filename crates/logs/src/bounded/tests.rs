//! Tests of the bounds.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    mpsc,
};

use super::{Job, PER_SECOND_MAX_COUNT, write_all};

#[test]
fn lines_beyond_the_limit_of_a_second_are_counted_and_not_written() {
    let (jobs, receiver) = mpsc::sync_channel(PER_SECOND_MAX_COUNT as usize + 100);
    for _ in 0..PER_SECOND_MAX_COUNT + 50 {
        jobs.send(Job::Line(b"event=x\n".to_vec())).expect("room");
    }
    drop(jobs);
    let dropped_count = AtomicU64::new(0);
    let mut output = Vec::new();
    write_all(&receiver, &dropped_count, &mut output);
    let lines_count = output.iter().filter(|&&byte| byte == b'\n').count();
    assert_eq!(lines_count, PER_SECOND_MAX_COUNT as usize);
    assert_eq!(dropped_count.load(Ordering::Relaxed), 50);
}

#[test]
fn a_flush_follows_the_lines_before_it() {
    let (jobs, receiver) = mpsc::sync_channel(4);
    let (done, is_done) = mpsc::sync_channel(1);
    jobs.send(Job::Line(b"event=last\n".to_vec()))
        .expect("room");
    jobs.send(Job::Flush(done)).expect("room");
    drop(jobs);
    let mut output = Vec::new();
    write_all(&receiver, &AtomicU64::new(0), &mut output);
    assert_eq!(output, b"event=last\n");
    assert_eq!(is_done.try_recv(), Ok(()));
}
