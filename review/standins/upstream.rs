//! Upstreams: they run requests in slots, and misbehave as a scenario says.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, http, http::Message, record::Record, scenarios::traffic::Sent, store::Store};

/// What an upstream does with a request.
pub enum Action {
    /// Runs it and answers 200 after `work`.
    Run { work: Duration },
    /// Runs it and answers 503 after `work`, without saying that it wasn't executed.
    RunAndFail { work: Duration },
    /// Like `Run`; a 421 with the ID of this request comes as an extra answer where the next answer
    /// on the connection is expected.
    RunWithExtra { work: Duration },
    /// Rejects it as not executed; if `late_copy`, the same answer comes once more where the next
    /// answer on the connection is expected.
    Shed { late_copy: bool },
    /// Runs it, sends the head and the first half of the answer after `work`, and the rest after
    /// `pause`.
    RunInTwoParts { work: Duration, pause: Duration },
    /// Sends the head and the beginning of an answer after `work`, and then byte after byte without
    /// end, one each `pause`, until the connection is closed.
    RunWithoutEnd { work: Duration, pause: Duration },
}

/// Decides what an upstream does with the request of an ID.
pub type Behaviour = Arc<dyn Fn(&str) -> Action + Send + Sync>;

/// A run, or an arrival, of a request.
#[derive(Clone, Debug)]
pub struct Event {
    pub request: String,
    pub server: String,
    pub at: Duration,
}

/// What all upstreams of a scenario have seen.
#[derive(Clone, Default)]
pub struct Seen {
    pub arrivals: Arc<Mutex<Vec<Event>>>,
    pub runs: Arc<Mutex<Vec<Event>>>,
    /// Ends of runs whose work was done, and those that ended since their connection closed.
    pub ends: Arc<Mutex<Vec<Event>>>,
}

impl Seen {
    /// Checks that no request ran more than once, and that none ran that was refused as not run.
    pub fn verdict_on_runs(&self, record: &Record, sent: &[Sent]) -> Verdict {
        let runs = self.runs.lock().unwrap().clone();
        let twice = self.run_twice();
        record.note(&format!(
            "{} requests, {} runs, {} requests ran more than once",
            sent.len(),
            runs.len(),
            twice.len()
        ));
        for (request, servers) in &twice {
            record.note(&format!("TWICE: {request} ran on {}", servers.join(", ")));
        }
        let is_refusal = |status| [408, 421, 429, 503].contains(&status);
        let mut broken = !twice.is_empty();
        for Sent { request, status, .. } in sent.iter().filter(|sent| is_refusal(sent.status)) {
            if let Some(run) = runs.iter().find(|run| run.request == *request) {
                broken = true;
                record.note(&format!(
                    "REFUSED: {request} was answered {status}, and {} ran it",
                    run.server
                ));
            }
        }
        if broken { Verdict::Broken } else { Verdict::Held }
    }

    /// Returns the requests that ran more than once, with the servers that ran them.
    pub fn run_twice(&self) -> Vec<(String, Vec<String>)> {
        let mut by_request: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for run in self.runs.lock().unwrap().iter() {
            by_request.entry(run.request.clone()).or_default().push(run.server.clone());
        }
        by_request.into_iter().filter(|(_, servers)| servers.len() > 1).collect()
    }
}

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    slots: usize,
    record: Record,
    seen: Seen,
    behaviour: Behaviour,
    busy: Arc<(Mutex<usize>, Condvar)>,
    has_ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Requests that wait for a slot.
const QUEUE: usize = 8;

impl Upstream {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        slots: usize,
        record: &Record,
        seen: &Seen,
        behaviour: Behaviour,
    ) -> io::Result<Upstream> {
        let listener = TcpListener::bind((ip, 0))?;
        let upstream = Upstream {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            slots,
            record: record.clone(),
            seen: seen.clone(),
            behaviour,
            busy: Arc::default(),
            has_ended: Arc::default(),
            open: Arc::default(),
        };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(upstream)
    }

    /// Writes its entry into the store.
    pub fn register(&self, store: &Store) {
        let Upstream { address, service, slots, .. } = self;
        store.put(
            &self.key(),
            &format!(
                r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"oslo-a","slots":{slots}}},"status":{{"state":"ready","seq":4,"warmup_left_s":0}}}}"#
            ),
        );
    }

    /// Returns the key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Ends the process that the upstream stands for: no connection stays open, none is accepted.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn event(&self, request: &str) -> Event {
        Event { request: request.to_owned(), server: self.id.clone(), at: self.record.now() }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        self.open.lock().unwrap().push(stream.try_clone().ok()?);
        let mut reader = BufReader::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = http::read(&mut reader) {
            if request.second_word() == "/healthz" {
                let headers = [("X-Pistachiotrack-Instance-Id", self.id.as_str())];
                http::write(&mut writer, &http::response("200 OK", &headers, b"")).ok()?;
                continue;
            }
            let id = request.header("x-pistachiotrack-request-id").unwrap_or_default().to_owned();
            self.seen.arrivals.lock().unwrap().push(self.event(&id));
            self.record.note(&format!("request {id} reaches server {}", self.id));
            if let Some(answer) = extra.take() {
                self.record.note(&format!("server {} sends the extra answer late", self.id));
                http::write(&mut writer, &answer).ok()?;
            }
            let expected = request.header("x-pistachiotrack-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("X-Pistachiotrack-Instance-Id", self.id.as_str())];
                let answer = http::response("421 Misdirected Request", &headers, b"");
                http::write(&mut writer, &answer).ok()?;
                continue;
            }
            match (self.behaviour)(&id) {
                Action::Shed { late_copy: copies } => {
                    let answer = self.shed(&id);
                    self.record.note(&format!(
                        "server {} rejects {id}: 503, not executed{}",
                        self.id,
                        if copies { ", and will send this answer a second time" } else { "" }
                    ));
                    http::write(&mut writer, &answer).ok()?;
                    extra = copies.then_some(answer);
                }
                Action::Run { work } => self.run(&id, &request, work, None, &mut writer)?,
                Action::RunAndFail { work } => {
                    let _slot = self.slot()?;
                    self.seen.runs.lock().unwrap().push(self.event(&id));
                    if !sleep_while_open(&writer, work) {
                        return None;
                    }
                    self.record.note(&format!("server {} ran {id} and answers 503", self.id));
                    let headers = [("X-Pistachiotrack-Request-Id", id.as_str())];
                    let answer = http::response("503 Service Unavailable", &headers, b"");
                    http::write(&mut writer, &answer).ok()?;
                }
                Action::RunWithoutEnd { work, pause } => {
                    return self.run_without_end(&id, work, pause, &mut writer);
                }
                Action::RunWithExtra { work } => {
                    self.run(&id, &request, work, None, &mut writer)?;
                    self.record
                        .note(&format!("server {} will send an extra 421 for {id}", self.id));
                    let headers = [
                        ("X-Pistachiotrack-Request-Id", id.as_str()),
                        ("X-Pistachiotrack-Instance-Id", self.id.as_str()),
                    ];
                    extra = Some(http::response("421 Misdirected Request", &headers, b""));
                }
                Action::RunInTwoParts { work, pause } => {
                    self.run(&id, &request, work, Some(pause), &mut writer)?;
                }
            }
        }
        None
    }

    fn shed(&self, id: &str) -> Vec<u8> {
        let headers = [("X-Pistachiotrack-Request-Id", id), ("X-Pistachiotrack-Not-Executed", "1")];
        http::response("503 Service Unavailable", &headers, b"")
    }

    /// Runs a request in a slot; drops it when its connection closes.
    fn run(
        &self,
        id: &str,
        request: &Message,
        work: Duration,
        pause: Option<Duration>,
        writer: &mut TcpStream,
    ) -> Option<()> {
        let Some(_slot) = self.slot() else {
            self.record.note(&format!("server {} is full and rejects {id}", self.id));
            return http::write(writer, &self.shed(id)).ok();
        };
        self.seen.runs.lock().unwrap().push(self.event(id));
        self.record.note(&format!("server {} runs {id}", self.id));
        if !sleep_while_open(writer, work) {
            self.seen.ends.lock().unwrap().push(self.event(id));
            self.record.note(&format!("server {} drops {id}: its connection closed", self.id));
            return None;
        }
        let body = format!("{} {} {id}", self.id, request.second_word()).repeat(8);
        let signature = format!("{}.{id}", self.id);
        let headers = [
            ("X-Pistachiotrack-Request-Id", id),
            ("X-Pistachiotrack-Server-Signature", signature.as_str()),
        ];
        let answer = http::response("200 OK", &headers, body.as_bytes());
        match pause {
            None => {
                self.record.note(&format!("server {} answers {id}: 200", self.id));
                http::write(writer, &answer).ok()?;
            }
            Some(pause) => {
                let (first, second) = answer.split_at(answer.len() - body.len() / 2);
                self.record.note(&format!("server {} sends half of the answer to {id}", self.id));
                http::write(writer, first).ok()?;
                if !sleep_while_open(writer, pause) {
                    self.seen.ends.lock().unwrap().push(self.event(id));
                    self.record.note(&format!("server {} drops {id}: closed", self.id));
                    return None;
                }
                self.record.note(&format!("server {} sends the rest for {id}", self.id));
                http::write(writer, second).ok()?;
            }
        }
        self.seen.ends.lock().unwrap().push(self.event(id));
        Some(())
    }

    fn run_without_end(
        &self,
        id: &str,
        work: Duration,
        pause: Duration,
        writer: &mut TcpStream,
    ) -> Option<()> {
        let _slot = self.slot()?;
        self.seen.runs.lock().unwrap().push(self.event(id));
        self.record.note(&format!("server {} answers {id} with bytes without end", self.id));
        let mut next = work;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Pistachiotrack-Request-Id: {id}\r\n\
             X-Pistachiotrack-Server-Signature: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut bytes = head.into_bytes();
        while sleep_while_open(writer, next) {
            bytes.extend(b"1\r\nx\r\n");
            http::write(writer, &bytes).ok()?;
            bytes.clear();
            next = pause;
        }
        self.seen.ends.lock().unwrap().push(self.event(id));
        self.record.note(&format!("server {} drops {id}: its connection closed", self.id));
        None
    }

    /// Waits for a slot; `None` if the queue is full.
    fn slot(&self) -> Option<Slot<'_>> {
        let mut busy = self.busy.0.lock().unwrap();
        if *busy >= self.slots + QUEUE {
            return None;
        }
        while *busy >= self.slots {
            busy = self.busy.1.wait(busy).unwrap();
        }
        *busy += 1;
        Some(Slot(self))
    }
}

struct Slot<'a>(&'a Upstream);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *self.0.busy.0.lock().unwrap() -= 1;
        self.0.busy.1.notify_one();
    }
}

/// Waits; returns `false` as soon as the other side has closed the connection.
fn sleep_while_open(stream: &TcpStream, duration: Duration) -> bool {
    let until = Instant::now() + duration;
    let mut byte = [0; 1];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut byte);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}
