//! Structured logging: JSON lines on standard output, written in the background from a bounded
//! buffer.

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
        sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc},
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two writes of the buffer.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which the last lines may take to be written.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(200);
/// Maximum size of the buffer; lines that do not fit are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Lines below `WARN` written per call site and second; further ones are dropped and counted.
const MAX_LINES_PER_CALL_SITE: u32 = 150;
/// Interval over which the lines of a call site are counted.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// Source file and line of a log statement.
type CallSite = (String, Option<u32>);

#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    lines: HashMap<CallSite, u32>,
    interval_start: Instant,
    dropped_lines: u64,
}

impl Buffer {
    fn new() -> Self {
        Self {
            bytes: Vec::new(),
            lines: HashMap::new(),
            interval_start: Instant::now(),
            dropped_lines: 0,
        }
    }

    /// Counts a line of a call site. Returns whether it may be written; warnings and errors always
    /// may.
    fn is_within_rate(&mut self, call_site: CallSite, level: Level) -> bool {
        if self.interval_start.elapsed() >= RATE_INTERVAL {
            self.lines.clear();
            self.interval_start = Instant::now();
        }
        if level >= Level::Warn {
            return true;
        }
        let lines = self.lines.entry(call_site).or_default();
        *lines += 1;
        *lines <= MAX_LINES_PER_CALL_SITE
    }

    fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        let dropped_lines = std::mem::take(&mut self.dropped_lines);
        if dropped_lines > 0 {
            bytes.extend_from_slice(
                format!("{{\"level\":\"WARN\",\"message\":\"log lines were dropped: rate limit or buffer size exceeded\",\"kvs\":{{\"count\":{dropped_lines}}}}}\n")
                    .as_bytes(),
            );
        }
        bytes
    }
}

/// Buffers log lines for a background thread that writes them.
#[derive(Debug)]
struct BufferedAppender {
    layout: JsonLayout,
    buffer: Arc<Mutex<Buffer>>,
}

impl BufferedAppender {
    fn start() -> Self {
        let buffer = Arc::new(Mutex::new(Buffer::new()));
        let flushed = Arc::clone(&buffer);
        let writer = move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                write(&flushed);
            }
        };
        if let Err(error) = thread::Builder::new().name("logs".to_owned()).spawn(writer) {
            eprintln!(
                "failed to start the log writer, so lines are written only when the program ends: {error}"
            );
        }
        Self {
            layout: JsonLayout::default(),
            buffer,
        }
    }
}

impl Append for BufferedAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let call_site = (record.file().unwrap_or_default().to_owned(), record.line());
        if !lock(&self.buffer).is_within_rate(call_site, record.level()) {
            lock(&self.buffer).dropped_lines += 1;
            return Ok(());
        }
        let line = self.layout.format(record, diagnostics)?;
        let mut buffer = lock(&self.buffer);
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped_lines += 1;
            return Ok(());
        }
        buffer.bytes.extend_from_slice(&line);
        buffer.bytes.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write(&self.buffer);
        Ok(())
    }
}

fn lock(buffer: &Mutex<Buffer>) -> MutexGuard<'_, Buffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write(buffer: &Mutex<Buffer>) {
    let bytes = lock(buffer).take();
    if bytes.is_empty() {
        return;
    }
    // A failed write to standard output cannot be reported anywhere.
    let _ = std::io::stdout().lock().write_all(&bytes);
}

/// Installs the logger, which writes every record as one line of JSON to standard output within
/// about 100 ms.
///
/// `RUST_LOG` overrides the default level, `info`. Call [`flush_logs`] before the program ends.
pub fn start_logs() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(BufferedAppender::start())
        })
        .apply();
}

/// Writes the buffered lines. If nobody reads them, the program ends without them.
pub fn flush_logs() {
    let (sender, is_done) = mpsc::channel();
    let flush = move || {
        log::logger().flush();
        // Nobody waits any more if it took too long.
        let _ = sender.send(());
    };
    if thread::Builder::new()
        .name("last-logs".to_owned())
        .spawn(flush)
        .is_ok()
    {
        let _ = is_done.recv_timeout(MAX_FLUSH_TIME);
    }
}
