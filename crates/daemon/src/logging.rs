//! Logging to standard output: one line per event, without blocking the caller.
//!
//! A line is a list of `name=value` pairs: the time, the level, the event text, which starts with
//! the name of the component, and the event's key-value pairs. Values with spaces or quotes are
//! quoted as in JSON.
//!
//! Lines pass through a bounded queue to a writer thread. If standard output does not keep up,
//! lines are dropped and counted; the count is logged once there is room again, and exported as a
//! metric.

use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use log::kv;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4096;

/// Batch size after which the writer writes, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Timeout for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between attempts to enqueue a flush while the queue is full.
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Log queue of this process.
static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Number of lines dropped since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    let queue = QUEUE.get();
    queue.map_or(0, |queue| queue.dropped.load(Ordering::Relaxed))
}

/// Waits, up to a timeout, until the queued lines are written. Call it last before the process
/// exits.
pub fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let (done, written) = mpsc::sync_channel(1);
    while queue.entries.try_send(Entry::Flush(done.clone())).is_err() {
        if Instant::now() >= deadline {
            return;
        }
        thread::sleep(FLUSH_RETRY_DELAY);
    }
    // A timeout means that the reader of standard output does not keep up.
    let _timed_out = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
}

/// An entry of the queue.
enum Entry {
    /// A line to write.
    Line(Vec<u8>),
    /// Requests a notification once all earlier lines are written.
    Flush(mpsc::SyncSender<()>),
}

/// Sending end of the queue; each write is one whole line.
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

/// Appends an event's key-value pairs to a line.
struct Pairs<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        append_pair(self.0, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends a `name=value` pair, quoted if necessary.
fn append_pair(line: &mut String, name: &str, value: &str) {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    let result = if !value.is_empty() && value.chars().all(is_plain) {
        write!(line, " {name}={value}")
    } else {
        write!(line, " {name}={value:?}")
    };
    result.expect("writing to a string does not fail");
}

/// Formats an event as a line.
fn format_line(time: &str, record: &log::Record<'_>) -> String {
    let mut line = format!("time={time} level={}", record.level().as_str());
    append_pair(&mut line, "event", &record.args().to_string());
    let pairs = record.key_values().visit(&mut Pairs(&mut line));
    if let Err(error) = pairs {
        append_pair(&mut line, "unwritten", &error.to_string());
    }
    line.push('\n');
    line
}

/// Writes queued lines until all senders are dropped.
fn run_writer(entries: &mpsc::Receiver<Entry>, dropped: &AtomicU64) {
    let mut reported = 0;
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
            let has_room = batch.len() < WRITE_BYTES;
            next = if has_room {
                entries.try_recv().ok()
            } else {
                None
            };
        }
        let count = dropped.load(Ordering::Relaxed);
        if count > reported {
            let lost = count - reported;
            let text = format!("level=WARN event=\"log: lines dropped\" count={lost}\n");
            batch.extend_from_slice(text.as_bytes());
            reported = count;
        }
        let mut out = io::stdout().lock();
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Standard output is closed; the process continues without logs.
            return;
        }
        for done in flushes {
            // The waiting thread may have timed out already.
            let _receiver_dropped = done.try_send(());
        }
    }
}

/// Installs the logger of this process, which never blocks on standard output.
///
/// `RUST_LOG` filters what is logged.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be spawned or a logger is already installed.
pub fn start() -> io::Result<()> {
    let (entries, receiver) = mpsc::sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        entries,
        dropped: dropped.clone(),
    };
    if QUEUE.set(queue.clone()).is_err() {
        return Err(io::ErrorKind::AlreadyExists.into());
    }
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_writer(&receiver, &dropped))?;
    let environment = env_logger::Env::default().default_filter_or("info,tarpc=off");
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .write_style(env_logger::WriteStyle::Never)
        .format(|buffer, record| {
            let time = buffer.timestamp_micros().to_string();
            buffer.write_all(format_line(&time, record).as_bytes())
        })
        .try_init()
        .map_err(io::Error::other)
}
