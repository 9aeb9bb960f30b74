//! Logs of a process: one line an event, on standard output, never waited for.
//!
//! A line is a list of `name=value` pairs: the time, the level, what happened, with the part of the
//! program in front, and then what belongs to it. Values with spaces or quotes are quoted as in JSON.
//!
//! Lines go through a bounded queue to a thread that writes them. Where standard output does not
//! keep up, lines are dropped and counted; the count is logged once there is room again, and is a
//! metric.

use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use log::kv;

/// Lines that wait to be written, at most.
const QUEUE_LINES: usize = 4096;

/// Bytes that are written at a time, about.
const WRITE_BYTES: usize = 64 << 10;

/// Longest wait for the lines that are left when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two tries to tell the writer that the process ends, while the queue is full.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// The queue of this process.
static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Lines dropped since the start.
#[must_use]
pub fn dropped() -> u64 {
    let queue = QUEUE.get();
    queue.map_or(0, |queue| queue.dropped.load(Ordering::Relaxed))
}

/// Waits for the lines that are left, for a bounded time; the last act of a process.
pub fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let end = Instant::now() + FLUSH_TIMEOUT;
    let (done, written) = mpsc::sync_channel(1);
    while queue.entries.try_send(Entry::Flush(done.clone())).is_err() {
        if Instant::now() >= end {
            return;
        }
        thread::sleep(FLUSH_PAUSE);
    }
    // Where the time is over, the reader of standard output does not keep up.
    let _late = written.recv_timeout(end.saturating_duration_since(Instant::now()));
}

/// What waits to be written.
enum Entry {
    /// A line.
    Line(Vec<u8>),
    /// Asks to be told once all lines before it are written.
    Flush(mpsc::SyncSender<()>),
}

/// The sending end of the queue, as a writer of whole lines.
#[derive(Clone)]
struct Queue {
    entries: mpsc::SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl io::Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.entries.try_send(Entry::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Appends the pairs of an event.
struct Pairs<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        pair(self.0, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends a pair.
fn pair(line: &mut String, name: &str, value: &str) {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    let written = if !value.is_empty() && value.chars().all(plain) {
        write!(line, " {name}={value}")
    } else {
        write!(line, " {name}={value:?}")
    };
    written.expect("a string takes all that is written");
}

/// One event as a line.
fn line(time: &str, record: &log::Record<'_>) -> String {
    let mut line = format!("time={time} level={}", record.level().as_str());
    pair(&mut line, "event", &record.args().to_string());
    let pairs = record.key_values().visit(&mut Pairs(&mut line));
    if let Err(error) = pairs {
        pair(&mut line, "unwritten", &error.to_string());
    }
    line.push('\n');
    line
}

/// Writes lines until all senders are gone.
fn write_all(entries: &mpsc::Receiver<Entry>, dropped: &AtomicU64) {
    let mut told = 0;
    let mut batch = Vec::with_capacity(WRITE_BYTES);
    while let Ok(first) = entries.recv() {
        batch.clear();
        let mut flushes = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(done) => flushes.push(done),
            }
            let room = batch.len() < WRITE_BYTES;
            next = if room { entries.try_recv().ok() } else { None };
        }
        let count = dropped.load(Ordering::Relaxed);
        if count > told {
            let lost = count - told;
            let text = format!("level=WARN event=\"log: lines dropped\" count={lost}\n");
            batch.extend_from_slice(text.as_bytes());
            told = count;
        }
        let mut out = io::stdout().lock();
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads standard output any more; the process goes on without logs.
            return;
        }
        for done in flushes {
            // Who waited no longer needs the word.
            let _gone = done.try_send(());
        }
    }
}

/// Sends the logs of this process to standard output, without ever waiting for it.
///
/// `RUST_LOG` chooses what is logged.
///
/// # Errors
///
/// Where the thread that writes cannot be started or a logger is set already.
pub fn start() -> io::Result<()> {
    let (entries, receiver) = mpsc::sync_channel(QUEUE_LINES);
    let counted = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        entries,
        dropped: counted.clone(),
    };
    if QUEUE.set(queue.clone()).is_err() {
        return Err(io::ErrorKind::AlreadyExists.into());
    }
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_all(&receiver, &counted))?;
    let environment = env_logger::Env::default().default_filter_or("info,tarpc=warn");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .write_style(env_logger::WriteStyle::Never)
        .format(|buffer, record| {
            let time = buffer.timestamp_micros().to_string();
            buffer.write_all(line(&time, record).as_bytes())
        })
        .try_init()
        .map_err(io::Error::other)
}
