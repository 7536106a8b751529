//! Log lines that nobody reads, and too many of them.

use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use std::time::Instant;

use chicoryrail_runtime::LogSink;

fn lines_read(mut from: UnixStream) -> Vec<String> {
    from.set_nonblocking(true).unwrap();
    let mut text = Vec::new();
    let _ = from.read_to_end(&mut text);
    let text = String::from_utf8(text).unwrap();
    text.lines().map(str::to_owned).collect()
}

/// The reader of the log stops reading while the process logs on. Writing never waits for it; what does
/// not fit into a bounded memory is left out, and a line says how many.
#[test]
fn a_reader_that_stops_blocks_nobody() {
    let sink = LogSink::new(u32::MAX);
    let (ours, theirs) = UnixStream::pair().unwrap();
    let started = Instant::now();
    let line = [b'x'; 500];
    for i in 0..10_000 {
        sink.line(&line, false);
        if i % 100 == 0 {
            sink.flush_to(&ours);
        }
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    std::thread::sleep(Duration::from_millis(1_050));
    drop(lines_read(theirs.try_clone().unwrap()));
    let mut seen = Vec::new();
    for _ in 0..100 {
        sink.flush_to(&ours);
        seen.extend(lines_read(theirs.try_clone().unwrap()));
    }
    assert!(seen.iter().any(|l| l.contains("log=left_out lines=")));
}

/// A storm of failures logs more lines than the rate allows: each second passes its number, and the next
/// second begins with a line that counts the rest.
#[test]
fn a_storm_costs_no_more_than_the_rate() {
    let sink = LogSink::new(50);
    let (ours, theirs) = UnixStream::pair().unwrap();
    for i in 0..500 {
        sink.line(format!("log=a n={i}\n").as_bytes(), false);
    }
    sink.flush_to(&ours);
    assert_eq!(lines_read(theirs.try_clone().unwrap()).len(), 50);
    std::thread::sleep(Duration::from_millis(1_050));
    sink.flush_to(&ours);
    assert_eq!(lines_read(theirs), ["log=left_out lines=450"]);
}

/// A storm of refused requests fills the log; a change of belief in the same second is still written.
#[test]
fn a_storm_of_requests_leaves_room_for_the_rest() {
    let sink = LogSink::new(50);
    let (ours, theirs) = UnixStream::pair().unwrap();
    for _ in 0..500 {
        sink.line(b"log=request_refused\n", true);
    }
    sink.line(b"log=leader_lost\n", false);
    sink.flush_to(&ours);
    let lines = lines_read(theirs);
    assert_eq!(lines.len(), 31);
    assert_eq!(lines[30], "log=leader_lost");
}
