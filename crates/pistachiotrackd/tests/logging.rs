//! Logs that are bounded and never hold up those who write them.

use std::{
    io::{self, Write},
    sync::mpsc::{self, Receiver, Sender},
};

use flexi_logger::{DeferredNow, writers::LogWriter};
use log::{Level, Record};
use pistachiotrackd::logging::BoundedWriter;

/// A sink that takes nothing until it is opened, like a pipe that nobody reads.
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

/// Whoever collects the logs has stopped reading, while requests fail by the
/// thousand. A VM that waited for its log lines would stop answering callers.
#[test]
fn logging_goes_on_while_nobody_reads_and_says_what_was_left_out() {
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
    assert!(text.contains("event=refused request=one"), "a refusal goes before the flood");
}
