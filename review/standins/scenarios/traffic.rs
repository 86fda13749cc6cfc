//! Consumers that send requests of one kind until a time.

use std::{
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

use super::deployment::Random;
use crate::{
    consumer::{Consumer, Request},
    machine::Machine,
    record::Record,
};

/// What consumers of one scenario send.
#[derive(Clone, Copy)]
pub struct Traffic {
    pub consumers: usize,
    /// What the IDs of its requests begin with.
    pub id_prefix: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    /// Shortest and longest pause of a consumer between two requests, in seconds.
    pub pause_s: (f64, f64),
    pub until: Duration,
}

/// A request and what its consumer got; the status is 0 without a whole answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: String,
    pub status: u16,
    pub sent_at: Duration,
    pub ended_at: Duration,
}

/// Running consumers.
pub struct Consumers {
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Traffic {
    pub fn start(self, record: &Record, machines: &[Machine]) -> Consumers {
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let seed = u64::from(std::process::id());
        let threads = (0..self.consumers).map(|number| {
            let front = machines[number % machines.len()].front;
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            thread::spawn(move || {
                let mut random = Random(seed.wrapping_mul(31).wrapping_add(number as u64));
                let mut consumer = Consumer::new(front);
                let mut count = 0;
                while record.now() < self.until {
                    let (shortest, longest) = self.pause_s;
                    let pause = shortest + (longest - shortest) * random.next();
                    thread::sleep(Duration::from_secs_f64(pause));
                    let id = format!("{}{number:04x}{count:010x}", self.id_prefix);
                    count += 1;
                    let body = if self.method == "GET" { "" } else { "booking" };
                    let request = Request {
                        method: self.method,
                        host: self.host,
                        path: self.path,
                        id: &id,
                        deadline_ms: self.deadline_ms,
                        body: body.as_bytes(),
                    };
                    let sent_at = record.now();
                    let answer = consumer.send(&record, &request);
                    let status = answer.map_or(0, |answer| answer.status());
                    let ended_at = record.now();
                    sent.lock().unwrap().push(Sent { request: id, status, sent_at, ended_at });
                }
            })
        });
        Consumers { threads: threads.collect(), sent }
    }
}

impl Consumers {
    /// Waits until the last request has ended and returns all.
    pub fn finish(self) -> Vec<Sent> {
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        self.sent.lock().unwrap().clone()
    }
}
