//! Tests of the rate limit and of flushing.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    mpsc,
};

use super::{LINES_PER_SECOND_MAX_COUNT, WriterCommand, run_writer};

#[test]
fn lines_over_rate_limit_are_dropped_and_counted() {
    let (commands, receiver) = mpsc::sync_channel(LINES_PER_SECOND_MAX_COUNT as usize + 100);
    for _ in 0..LINES_PER_SECOND_MAX_COUNT + 50 {
        commands
            .send(WriterCommand::Line(b"event=x\n".to_vec()))
            .expect("room");
    }
    drop(commands);
    let dropped_count = AtomicU64::new(0);
    let mut output = Vec::new();
    run_writer(&receiver, &dropped_count, &mut output);
    let lines_count = output.iter().filter(|&&byte| byte == b'\n').count();
    assert_eq!(lines_count, LINES_PER_SECOND_MAX_COUNT as usize);
    assert_eq!(dropped_count.load(Ordering::Relaxed), 50);
}

#[test]
fn flush_completes_after_earlier_lines() {
    let (commands, receiver) = mpsc::sync_channel(4);
    let (done, flushed) = mpsc::sync_channel(1);
    commands
        .send(WriterCommand::Line(b"event=last\n".to_vec()))
        .expect("room");
    commands.send(WriterCommand::Flush(done)).expect("room");
    drop(commands);
    let mut output = Vec::new();
    run_writer(&receiver, &AtomicU64::new(0), &mut output);
    assert_eq!(output, b"event=last\n");
    assert_eq!(flushed.try_recv(), Ok(()));
}
