//! The log writer limits the rate of lines and never blocks its callers.

use std::{
    io::{self, Write},
    sync::mpsc::{self, Receiver, Sender},
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use log::{Level, Record};
use pistachiotrackd::logging::BoundedWriter;

/// A sink that blocks until it is opened, like a pipe without a reader.
struct Pipe {
    opened: Receiver<()>,
    is_open: bool,
    written: Sender<Vec<u8>>,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.is_open = self.opened.recv().is_ok();
        }
        // The test may have ended.
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(writer: &BoundedWriter, level: Level, text: &str) {
    let arguments = format_args!("{text}");
    let record = Record::builder().level(level).target("test").args(arguments).build();
    writer.write(&mut DeferredNow::new(), &record).unwrap();
}

/// The reader of the log has stopped reading while thousands of requests fail. If
/// logging blocked, the VM would stop serving callers.
#[test]
fn logging_does_not_block_without_a_reader_and_reports_dropped_lines() {
    let (open, opened) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let writer = BoundedWriter::start(Pipe { opened, is_open: false, written });
    for number in 0..20_000 {
        log(&writer, Level::Info, &format!("event=flood number={number}"));
    }
    log(&writer, Level::Warn, "event=refused request=one");
    open.send(()).unwrap();
    writer.flush().unwrap();
    let text = lines.try_iter().collect::<Vec<_>>().concat();
    let text = String::from_utf8(text).unwrap();
    let flood = text.lines().filter(|line| line.contains("event=flood")).count();
    assert!((100..2_000).contains(&flood), "{flood} lines of the flood");
    assert!(text.contains("event=log_lines_left_out count="), "{flood} lines");
    assert!(
        text.contains("event=refused request=one"),
        "a refusal is dropped because of the flood"
    );
}
