//! Structured logs: JSON lines on standard output, bounded and never waited for.

use {
    logforth::{
        Append, Diagnostic, Error, Layout,
        filter::rustlog::RustLogFilterBuilder,
        layout::JsonLayout,
        record::{Level, Record},
    },
    std::{
        collections::HashMap,
        io::Write,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that may wait for the next write; what does not fit is left out.
const MOST_WAITING_BYTES: usize = 256 * 1024;
/// Lines of one kind below warnings that are written a second; the others are counted.
const MOST_LINES_PER_KIND: u32 = 150;
/// Time over which lines of one kind are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// A place in the code that logs.
type Kind = (String, Option<u32>);

#[derive(Debug)]
struct Waiting {
    bytes: Vec<u8>,
    lines: HashMap<Kind, u32>,
    counted_since: Instant,
    left_out: u64,
}

impl Waiting {
    fn new() -> Self {
        Self {
            bytes: Vec::new(),
            lines: HashMap::new(),
            counted_since: Instant::now(),
            left_out: 0,
        }
    }

    /// Counts a line of a kind. Returns false where it is one too many.
    fn count(&mut self, kind: Kind, level: Level) -> bool {
        if self.counted_since.elapsed() >= COUNT_INTERVAL {
            self.lines.clear();
            self.counted_since = Instant::now();
        }
        if level >= Level::Warn {
            return true;
        }
        let lines = self.lines.entry(kind).or_default();
        *lines += 1;
        *lines <= MOST_LINES_PER_KIND
    }

    fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        let left_out = std::mem::take(&mut self.left_out);
        if left_out > 0 {
            bytes.extend_from_slice(
                format!("{{\"level\":\"WARN\",\"message\":\"log lines were left out\",\"kvs\":{{\"count\":{left_out}}}}}\n")
                    .as_bytes(),
            );
        }
        bytes
    }
}

/// Collects lines, which a thread of its own writes.
#[derive(Debug)]
struct Batches {
    layout: JsonLayout,
    waiting: Arc<Mutex<Waiting>>,
}

impl Batches {
    fn start() -> Self {
        let waiting = Arc::new(Mutex::new(Waiting::new()));
        let written = Arc::clone(&waiting);
        let writer = move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                write(&written);
            }
        };
        if let Err(error) = thread::Builder::new().name("logs".to_owned()).spawn(writer) {
            eprintln!("logs are written only at the end: {error}");
        }
        Self {
            layout: JsonLayout::default(),
            waiting,
        }
    }
}

impl Append for Batches {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let kind = (record.file().unwrap_or_default().to_owned(), record.line());
        if !lock(&self.waiting).count(kind, record.level()) {
            lock(&self.waiting).left_out += 1;
            return Ok(());
        }
        let line = self.layout.format(record, diagnostics)?;
        let mut waiting = lock(&self.waiting);
        if waiting.bytes.len() + line.len() > MOST_WAITING_BYTES {
            waiting.left_out += 1;
            return Ok(());
        }
        waiting.bytes.extend_from_slice(&line);
        waiting.bytes.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write(&self.waiting);
        Ok(())
    }
}

fn lock(waiting: &Mutex<Waiting>) -> MutexGuard<'_, Waiting> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write(waiting: &Mutex<Waiting>) {
    let bytes = lock(waiting).take();
    if bytes.is_empty() {
        return;
    }
    // Nobody reads the logs; there is nowhere to say so.
    let _ = std::io::stdout().lock().write_all(&bytes);
}

/// Sends every log record to standard output as one line of JSON, a moment later.
///
/// `RUST_LOG` overrides the default level, `info`. A program calls [`flush_logs`] before it ends.
pub fn start_logs() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Batches::start())
        })
        .apply();
}

/// Writes the lines that are still waiting.
pub fn flush_logs() {
    log::logger().flush();
}
