//! Tests of the log sink with a stalled reader and with too many lines.

use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_runtime::LogSink;

fn lines_read(mut reader: UnixStream) -> Vec<String> {
    reader.set_nonblocking(true).unwrap();
    let mut text = Vec::new();
    let _ = reader.read_to_end(&mut text);
    let text = String::from_utf8(text).unwrap();
    text.lines().map(str::to_owned).collect()
}

/// Guards against a process that blocks on its log: the reader stops while the process keeps logging. Lines that do
/// not fit into the bounded buffer are dropped, and a log line reports their number.
#[test]
fn a_stalled_reader_does_not_block_the_process() {
    let sink = LogSink::new(u32::MAX);
    let (writer, reader) = UnixStream::pair().unwrap();
    let started = Instant::now();
    let line = [b'x'; 500];
    for i in 0..10_000 {
        sink.write_line(&line, false);
        if i % 100 == 0 {
            sink.flush_to(&writer);
        }
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    std::thread::sleep(Duration::from_millis(1_050));
    drop(lines_read(reader.try_clone().unwrap()));
    let mut seen = Vec::new();
    for _ in 0..100 {
        sink.flush_to(&writer);
        seen.extend(lines_read(reader.try_clone().unwrap()));
    }
    assert!(seen.iter().any(|l| l.contains("log=left_out lines=")));
}

/// Many failures log more lines than the rate allows. Each second writes at most the rate, and the next second starts
/// with a line that reports the number of dropped lines.
#[test]
fn lines_above_the_rate_are_dropped_and_counted() {
    let sink = LogSink::new(50);
    let (writer, reader) = UnixStream::pair().unwrap();
    for i in 0..500 {
        sink.write_line(format!("log=a n={i}\n").as_bytes(), false);
    }
    sink.flush_to(&writer);
    assert_eq!(lines_read(reader.try_clone().unwrap()).len(), 50);
    std::thread::sleep(Duration::from_millis(1_050));
    sink.flush_to(&writer);
    assert_eq!(lines_read(reader), ["log=left_out lines=450"]);
}

/// Guards against the loss of a view change: many refused requests fill the log in the same second.
#[test]
fn request_lines_do_not_displace_other_lines() {
    let sink = LogSink::new(50);
    let (writer, reader) = UnixStream::pair().unwrap();
    for _ in 0..500 {
        sink.write_line(b"log=request_refused\n", true);
    }
    sink.write_line(b"log=leader_lost\n", false);
    sink.flush_to(&writer);
    let lines = lines_read(reader);
    assert_eq!(lines.len(), 31);
    assert_eq!(lines[30], "log=leader_lost");
}
