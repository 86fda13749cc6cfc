//! Logging: one line of key=value pairs for each event, to standard error or output.
//!
//! Logging never blocks and its rate is limited: lines are queued for a writer
//! thread, and dropped lines are counted and reported. Warnings and errors, such as
//! a failed attempt or a refusal, have a rate limit of their own, so that a flood of
//! other lines can't displace them.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::{Duration, Instant},
};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter};
use log::{Level, Record};

use crate::config::settings::{LogOutput, Settings};

/// Maximum number of queued lines, about 200 kB.
const MAX_QUEUED_LINES: usize = 1_024;
/// Rate limit of each kind of lines, and the size of a burst in seconds of that rate.
/// A VM with 20 requests per second logs less than that even if all fail; the start
/// of a fleet of 48 VMs logs 47 lines.
const LINES_PER_SECOND: f64 = 200.0;
const BURST_SECONDS: f64 = 4.0;
/// Time for which a flush waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts the logger of the process.
///
/// # Errors
///
/// Returns an error if a logger is already running.
pub fn start(settings: &Settings) -> Result<LoggerHandle, FlexiLoggerError> {
    let writer = match settings.log_output {
        LogOutput::Stderr => BoundedWriter::start(io::stderr()),
        LogOutput::Stdout => BoundedWriter::start(io::stdout()),
    };
    Logger::try_with_str(settings.log_level.as_str())?.log_to_writer(Box::new(writer)).start()
}

enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

/// A log writer that drops lines instead of blocking the caller.
pub struct BoundedWriter {
    items: SyncSender<Item>,
    dropped_lines: Arc<AtomicU64>,
    /// Rate limits of warnings and errors, and of all other lines.
    buckets: Mutex<[TokenBucket; 2]>,
}

/// Token bucket that limits the rate of lines.
struct TokenBucket {
    lines: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new() -> TokenBucket {
        TokenBucket { lines: LINES_PER_SECOND * BURST_SECONDS, refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.refilled_at = now;
        self.lines = (self.lines + refill).min(LINES_PER_SECOND * BURST_SECONDS);
        let has_token = self.lines >= 1.0;
        if has_token {
            self.lines -= 1.0;
        }
        has_token
    }
}

impl BoundedWriter {
    /// Starts the writer thread, which writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> BoundedWriter {
        let (items, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped_lines);
        thread::spawn(move || write_all(sink, &queue, &dropped_count));
        BoundedWriter {
            items,
            dropped_lines,
            buckets: Mutex::new([TokenBucket::new(), TokenBucket::new()]),
        }
    }

    fn may_write(&self, level: Level) -> bool {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let index = usize::from(level > Level::Warn);
        buckets[index].take()
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let fits = self.may_write(record.level()) && {
            let line = line(now, record);
            self.items.try_send(Item::Line(line)).is_ok()
        };
        if !fits {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits for the queued lines, but not longer than [`FLUSH_TIMEOUT`]: a stalled
    /// reader of the log must not delay the end of the process.
    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // On a timeout, or if the thread has ended, the lines are lost.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines until the writer is dropped or the sink fails.
fn write_all(mut sink: impl Write, queue: &Receiver<Item>, dropped_lines: &AtomicU64) {
    while let Ok(item) = queue.recv() {
        let count = dropped_lines.swap(0, Ordering::Relaxed);
        let reported = match count {
            0 => Ok(()),
            count => writeln!(sink, "level=warn event=log_lines_left_out count={count}"),
        };
        let written = reported.and_then(|()| match item {
            Item::Line(line) => sink.write_all(line.as_bytes()),
            Item::Flush(done) => {
                // The caller of `flush` may have timed out.
                let _ = done.try_send(());
                sink.flush()
            }
        });
        if written.is_err() {
            return;
        }
    }
}

fn line(now: &mut DeferredNow, record: &Record<'_>) -> String {
    format!(
        "time={} level={} module={} {}\n",
        now.format_rfc3339(),
        record.level().as_str().to_ascii_lowercase(),
        record.target(),
        record.args()
    )
}
