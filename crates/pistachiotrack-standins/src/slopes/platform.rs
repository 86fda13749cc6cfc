//! The platform's configuration service in logical time: serves a limited
//! number of reads per second and counts them.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use pistachiotrack_core::time::Time;

use super::acceptance::gzip;

const SECOND: Duration = Duration::from_secs(1);

struct PendingWatch {
    reader: usize,
    end: Time,
}

/// The simulated service, which holds one value.
pub(crate) struct Platform {
    /// Number of reads of the value so far, watches included.
    pub(crate) reads: u64,
    /// Number of first reads of the VM list so far.
    pub(crate) list_reads: u64,
    recent_reads: VecDeque<Time>,
    busiest_second: usize,
    version: u64,
    value: Arc<[u8]>,
    gzip_bytes: u64,
    time_per_read: Duration,
    available_at: Time,
    watches: Vec<PendingWatch>,
}

impl Platform {
    /// Creates the service with version 1 of its value.
    pub(crate) fn new(reads_per_s: f64, value: Arc<[u8]>) -> Platform {
        Platform {
            reads: 0,
            list_reads: 0,
            recent_reads: VecDeque::new(),
            busiest_second: 0,
            version: 1,
            gzip_bytes: gzip(&value) as u64,
            value,
            time_per_read: Duration::from_secs_f64(1.0 / reads_per_s),
            available_at: Time::ZERO,
            watches: Vec::new(),
        }
    }

    /// Handles a watch. Returns the value and the time until the response if the value is newer
    /// than `after`; otherwise the watch stays pending and `None` is returned.
    pub(crate) fn watch(
        &mut self,
        now: Time,
        reader: usize,
        after: Option<u64>,
        end: Time,
    ) -> Option<(Duration, Arc<[u8]>)> {
        self.reads += 1;
        self.record_read(now);
        if after.is_none_or(|after| after < self.version) {
            return Some((self.available_at.since(now), Arc::clone(&self.value)));
        }
        self.watches.push(PendingWatch { reader, end });
        None
    }

    /// Handles a read of the VM list and returns the time until the response.
    pub(crate) fn read_list(&mut self, now: Time) -> Duration {
        self.list_reads += 1;
        self.record_read(now);
        self.available_at.since(now)
    }

    fn record_read(&mut self, now: Time) {
        self.recent_reads.push_back(now);
        while self.recent_reads.front().is_some_and(|read| now.since(*read) >= SECOND) {
            self.recent_reads.pop_front();
        }
        self.busiest_second = self.busiest_second.max(self.recent_reads.len());
        self.available_at = self.available_at.max(now) + self.time_per_read;
    }

    /// Returns the largest number of reads, of the value and of the list, within one second.
    pub(crate) fn busiest_second(&self) -> usize {
        self.busiest_second
    }

    /// Returns the bytes of one response with the compressed value.
    pub(crate) fn response_bytes(&self) -> u64 {
        self.gzip_bytes
    }

    /// Returns the number of pending watches.
    pub(crate) fn pending_watches(&self) -> usize {
        self.watches.len()
    }

    /// Publishes a new value and returns the readers of the pending watches.
    pub(crate) fn publish(&mut self, version: u64, value: Arc<[u8]>) -> Vec<usize> {
        self.version = version;
        self.gzip_bytes = gzip(&value) as u64;
        self.value = value;
        self.watches.drain(..).map(|watch| watch.reader).collect()
    }

    /// Removes the watches of a reader that was replaced.
    pub(crate) fn remove_watch(&mut self, reader: usize) {
        self.watches.retain(|watch| watch.reader != reader);
    }

    /// Removes the watches that have timed out and returns their readers.
    pub(crate) fn expire_watches(&mut self, now: Time) -> Vec<usize> {
        let (expired, remaining) = self.watches.drain(..).partition(|watch| watch.end <= now);
        self.watches = remaining;
        let expired: Vec<PendingWatch> = expired;
        expired.into_iter().map(|watch| watch.reader).collect()
    }
}
