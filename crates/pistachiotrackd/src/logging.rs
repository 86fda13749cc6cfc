//! Logs: one line of key=value pairs for each event, on standard error or output.
//!
//! Writing never blocks and its volume is bounded: lines go through a queue to a
//! thread of their own, within a budget of lines, and what is left out is counted
//! and said. Warnings, such as a failed attempt or a refusal, have a budget apart,
//! so that no flood of ordinary lines takes their place.

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

use crate::settings::{LogOutput, Settings};

/// Lines that may wait to be written, about 200 kB.
const QUEUED_LINES: usize = 1_024;
/// Lines a second of each kind, and how many seconds' worth may come at once. A VM
/// that takes 20 requests a second writes fewer even if all fail; the start of a
/// fleet of 48 brings 47 lines.
const LINES_PER_SECOND: f64 = 200.0;
const BURST_SECONDS: f64 = 4.0;
/// Time for which a flush waits for the thread that writes.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// Starts the logger of the process.
///
/// # Errors
///
/// Returns an error if a logger runs already.
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

/// Writes lines without ever blocking those who log.
pub struct BoundedWriter {
    items: SyncSender<Item>,
    left_out: Arc<AtomicU64>,
    /// Budgets of warnings and of all other lines.
    budgets: Mutex<[Budget; 2]>,
}

/// Lines that may be written now.
struct Budget {
    lines: f64,
    filled_at: Instant,
}

impl Budget {
    fn new() -> Budget {
        Budget { lines: LINES_PER_SECOND * BURST_SECONDS, filled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.filled_at).as_secs_f64() * LINES_PER_SECOND;
        self.filled_at = now;
        self.lines = (self.lines + earned).min(LINES_PER_SECOND * BURST_SECONDS);
        let has_line = self.lines >= 1.0;
        if has_line {
            self.lines -= 1.0;
        }
        has_line
    }
}

impl BoundedWriter {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> BoundedWriter {
        let (items, queue) = mpsc::sync_channel(QUEUED_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        thread::spawn(move || write_all(sink, &queue, &counted));
        BoundedWriter { items, left_out, budgets: Mutex::new([Budget::new(), Budget::new()]) }
    }

    fn may_write(&self, level: Level) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let index = usize::from(level > Level::Warn);
        budgets[index].take()
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let fits = self.may_write(record.level()) && {
            let line = line(now, record);
            self.items.try_send(Item::Line(line)).is_ok()
        };
        if !fits {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits a little for what is queued: a reader that doesn't read must not hold
    /// up the end of the process.
    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // Not written in time, or the thread has ended: nothing more can be done.
            let _ = written.recv_timeout(FLUSH_WAIT);
        }
        Ok(())
    }
}

/// Writes what is queued until nobody logs any more or the sink is closed.
fn write_all(mut sink: impl Write, queue: &Receiver<Item>, left_out: &AtomicU64) {
    while let Ok(item) = queue.recv() {
        let count = left_out.swap(0, Ordering::Relaxed);
        let noted = match count {
            0 => Ok(()),
            count => writeln!(sink, "level=warn event=log_lines_left_out count={count}"),
        };
        let written = noted.and_then(|()| match item {
            Item::Line(line) => sink.write_all(line.as_bytes()),
            Item::Flush(done) => {
                // Who asked may have stopped waiting.
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
