//! Logging never blocks the caller and reports the number of dropped lines.
#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::atomic::Ordering,
    time::Instant,
};

use havengrade_router::logging::{LineWriter, write_lines};

#[test]
fn full_queue_drops_lines_without_blocking() {
    let (mut writer, rx, dropped) = LineWriter::new(10);
    for _ in 0..1000 {
        writer.write_all(b"line\n").unwrap();
    }
    assert_eq!(dropped.load(Ordering::Relaxed), 990);
    drop(writer);
    let mut out = Vec::new();
    let start = Instant::now();
    write_lines(&rx, &dropped, 100, &|| start, &mut out);
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.lines().filter(|line| *line == "line").count(), 10);
    assert!(text.contains(r#""dropped":990"#), "{text}");
}

#[test]
fn lines_above_the_rate_limit_are_dropped_and_counted() {
    let (mut writer, rx, dropped) = LineWriter::new(1000);
    for _ in 0..60 {
        writer.write_all(b"line\n").unwrap();
    }
    drop(writer);
    let mut out = Vec::new();
    let start = Instant::now();
    write_lines(&rx, &dropped, 25, &|| start, &mut out);
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.lines().filter(|line| *line == "line").count(), 25);
    assert!(text.contains(r#""dropped":35"#), "{text}");
}

#[test]
fn closed_output_does_not_end_the_writer() {
    struct ClosedOutput;
    impl Write for ClosedOutput {
        fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
            Err(io::Error::from(io::ErrorKind::BrokenPipe))
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (mut writer, rx, dropped) = LineWriter::new(10);
    writer.write_all(b"line\n").unwrap();
    drop(writer);
    let start = Instant::now();
    write_lines(&rx, &dropped, 100, &|| start, &mut ClosedOutput);
}
