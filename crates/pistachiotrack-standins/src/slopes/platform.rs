//! The platform's configuration service in logical time: answers a limited
//! number of reads a second and counts them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use pistachiotrack_core::time::Time;

use super::acceptance::gzip;

const SECOND: Duration = Duration::from_secs(1);

struct Waiting {
    reader: usize,
    end: Time,
}

/// The service, holding one value.
pub(crate) struct Platform {
    /// Reads so far; a watch counts as one.
    pub(crate) reads: u64,
    /// First reads of the list of VMs so far.
    pub(crate) list_reads: u64,
    lately: VecDeque<Time>,
    busiest_second: usize,
    version: u64,
    value: Arc<[u8]>,
    gzip_bytes: u64,
    time_per_read: Duration,
    free_at: Time,
    waiting: Vec<Waiting>,
}

impl Platform {
    /// Creates the service with version 1 of its value.
    pub(crate) fn new(reads_per_s: f64, value: Arc<[u8]>) -> Platform {
        Platform {
            reads: 0,
            list_reads: 0,
            lately: VecDeque::new(),
            busiest_second: 0,
            version: 1,
            gzip_bytes: gzip(&value) as u64,
            value,
            time_per_read: Duration::from_secs_f64(1.0 / reads_per_s),
            free_at: Time::ZERO,
            waiting: Vec::new(),
        }
    }

    /// Takes a watch; returns the value and the time until it is answered if
    /// it is newer than `after`, and lets the reader wait otherwise.
    pub(crate) fn watch(
        &mut self,
        now: Time,
        reader: usize,
        after: Option<u64>,
        end: Time,
    ) -> Option<(Duration, Arc<[u8]>)> {
        self.reads += 1;
        self.count(now);
        if after.is_none_or(|after| after < self.version) {
            return Some((self.free_at.since(now), Arc::clone(&self.value)));
        }
        self.waiting.push(Waiting { reader, end });
        None
    }

    /// Takes a read of the list and returns the time until it is answered.
    pub(crate) fn read_list(&mut self, now: Time) -> Duration {
        self.list_reads += 1;
        self.count(now);
        self.free_at.since(now)
    }

    fn count(&mut self, now: Time) {
        self.lately.push_back(now);
        while self.lately.front().is_some_and(|read| now.since(*read) >= SECOND) {
            self.lately.pop_front();
        }
        self.busiest_second = self.busiest_second.max(self.lately.len());
        self.free_at = self.free_at.max(now) + self.time_per_read;
    }

    /// Returns the most reads of both kinds asked for within one second.
    pub(crate) fn busiest_second(&self) -> usize {
        self.busiest_second
    }

    /// Returns the bytes of one answer with the value, compressed.
    pub(crate) fn answer_bytes(&self) -> u64 {
        self.gzip_bytes
    }

    /// Returns how many watches wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a new value and returns the readers that waited for one.
    pub(crate) fn publish(&mut self, version: u64, value: Arc<[u8]>) -> Vec<usize> {
        self.version = version;
        self.gzip_bytes = gzip(&value) as u64;
        self.value = value;
        self.waiting.drain(..).map(|waiting| waiting.reader).collect()
    }

    /// Drops the watch of a reader that is gone.
    pub(crate) fn forget(&mut self, reader: usize) {
        self.waiting.retain(|waiting| waiting.reader != reader);
    }

    /// Returns the readers whose watch has waited to its end.
    pub(crate) fn due(&mut self, now: Time) -> Vec<usize> {
        let (due, waiting) = self.waiting.drain(..).partition(|waiting| waiting.end <= now);
        self.waiting = waiting;
        let due: Vec<Waiting> = due;
        due.into_iter().map(|waiting| waiting.reader).collect()
    }
}
