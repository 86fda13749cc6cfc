//! Test stand-in for an endpoint, with slots, a queue and injectable faults.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    HeaderMap, Request,
    body::Incoming,
    header::{HeaderValue, RETRY_AFTER},
};
use pistachiotrack_core::{endpoint_notice::EndpointNotice, header, service::DEFAULT_PROBE_PATH};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::TcpSocket,
    sync::{Notify, Semaphore, SemaphorePermit},
    task::JoinHandle,
};

use crate::{
    execution_counter::ExecutionCounter,
    fault::Faults,
    late_copies::LateCopies,
    server::{Answer, Server, empty, reserve},
    work::{SERVICE_US, WORK_ID, WORKED_BY, WorkId, answer_body},
    work_log::{SlowWork, WorkLog, WorkSpan},
};

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// Name, sent in each answer.
    pub name: String,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that can wait for a slot; further requests are shed.
    pub queue_limit: u32,
    /// Median service time.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Time that a health check occupies a slot.
    pub probe_ms: u64,
    /// Seed of the service times and failures.
    pub seed: u64,
}

impl Default for EndpointSettings {
    fn default() -> EndpointSettings {
        EndpointSettings {
            name: "endpoint".to_owned(),
            slots: 2,
            queue_limit: 4,
            median_ms: 30.0,
            sigma: 0.3,
            probe_ms: 25,
            seed: 1,
        }
    }
}

/// Counters of an endpoint since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Health checks that arrived.
    pub probes: u64,
    /// Requests refused without being run.
    pub shed: u64,
    /// Requests whose connection was closed before the answer.
    pub cancelled: u64,
    /// Largest number of requests in flight, running and queued.
    pub peak: u32,
}

/// Query string of a request that crashes the endpoint that runs it.
pub const CRASH_QUERY: &str = "crash";
/// Time for which a crashed endpoint accepts no connections.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Delay before the next attempt to bind a crashed endpoint's address.
const REBIND_PAUSE: Duration = Duration::from_millis(2);

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    state: Arc<EndpointState>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct EndpointState {
    settings: EndpointSettings,
    slots: Semaphore,
    in_flight: AtomicU32,
    faults: Mutex<Faults>,
    late_copies: Arc<LateCopies>,
    random: Mutex<Pcg64Mcg>,
    execution_counter: Arc<ExecutionCounter>,
    arrivals: Mutex<Vec<(Instant, WorkId)>>,
    work_log: WorkLog,
    /// Requests whose work lasts longer.
    slow_work: Mutex<Option<SlowWork>>,
    probes: AtomicU64,
    shed: AtomicU64,
    cancelled: AtomicU64,
    peak: AtomicU32,
    /// Rate limit in requests per second that the answers announce.
    rate_limit: Mutex<Option<f64>>,
    /// What the answers ask of the VMs.
    notice: Mutex<EndpointNotice>,
    crash: Notify,
    /// Times at which the endpoint began to run a request that crashes it.
    crash_runs: Mutex<Vec<Instant>>,
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(
        settings: EndpointSettings,
        execution_counter: Arc<ExecutionCounter>,
    ) -> std::io::Result<Endpoint> {
        let state = Arc::new(EndpointState {
            slots: Semaphore::new(settings.slots as usize),
            in_flight: AtomicU32::new(0),
            faults: Mutex::default(),
            late_copies: Arc::default(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            execution_counter,
            arrivals: Mutex::default(),
            work_log: WorkLog::default(),
            slow_work: Mutex::default(),
            probes: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            peak: AtomicU32::new(0),
            rate_limit: Mutex::default(),
            notice: Mutex::default(),
            crash: Notify::new(),
            crash_runs: Mutex::default(),
            settings,
        });
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Arc::clone(&state).serve(reserve(any)?)?;
        let address = server.address();
        let task = tokio::spawn(Arc::clone(&state).serve_with_restarts(server));
        Ok(Endpoint { state, address, task })
    }

    /// Returns the address that the endpoint serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the rate limit in requests per second that the answers announce.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        *lock(&self.state.rate_limit) = per_second;
    }

    /// Sets what the answers ask of the VMs. With a time for which it accepts no requests, the
    /// endpoint refuses all.
    pub fn set_notice(&self, notice: EndpointNotice) {
        *lock(&self.state.notice) = notice;
    }

    /// Sets which requests' work lasts longer than usual.
    pub fn set_slow_work(&self, slow_work: Option<SlowWork>) {
        *lock(&self.state.slow_work) = slow_work;
    }

    /// Returns the time that each request spent at the endpoint.
    pub fn work_spans(&self) -> Vec<WorkSpan> {
        self.state.work_log.spans()
    }

    /// Returns the times at which the endpoint began to run a request that crashes it.
    pub fn crash_runs(&self) -> Vec<Instant> {
        lock(&self.state.crash_runs).clone()
    }

    /// Returns the name of the endpoint.
    pub fn name(&self) -> &str {
        &self.state.settings.name
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.late_copies.set_active(faults.repeats_refusals);
        *lock(&self.state.faults) = faults;
    }

    /// Returns the current counters.
    pub fn counts(&self) -> EndpointCounts {
        EndpointCounts {
            arrivals: lock(&self.state.arrivals).len() as u64,
            probes: self.state.probes.load(Ordering::Relaxed),
            shed: self.state.shed.load(Ordering::Relaxed),
            cancelled: self.state.cancelled.load(Ordering::Relaxed),
            peak: self.state.peak.load(Ordering::Relaxed),
        }
    }

    /// Returns the times at which requests arrived, from `since` on.
    pub fn arrivals_since(&self, since: Instant) -> Vec<Instant> {
        let arrivals = self.work_arrivals().into_iter().map(|(at, _)| at);
        arrivals.filter(|at| *at >= since).collect()
    }

    /// Returns the times at which requests arrived, with their work.
    pub fn work_arrivals(&self) -> Vec<(Instant, WorkId)> {
        lock(&self.state.arrivals).clone()
    }
}

impl EndpointState {
    fn serve(self: Arc<Self>, reserved: TcpSocket) -> std::io::Result<Server> {
        let copies = Arc::clone(&self.late_copies);
        Server::start_on(reserved, copies, move |request, opened| {
            Arc::clone(&self).answer(request, opened)
        })
    }

    /// Closes the port and all connections at each crash, and restarts after [`CRASH_DOWNTIME`].
    async fn serve_with_restarts(self: Arc<Self>, mut server: Server) {
        let address = server.address();
        loop {
            self.crash.notified().await;
            drop(server);
            let crashed = Instant::now();
            server = loop {
                // Another process that took the port would get the requests of this endpoint.
                let Ok(reserved) = reserve(address) else {
                    tokio::time::sleep(REBIND_PAUSE).await;
                    continue;
                };
                tokio::time::sleep(CRASH_DOWNTIME.saturating_sub(crashed.elapsed())).await;
                match Arc::clone(&self).serve(reserved) {
                    Ok(server) => break server,
                    Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
                }
            };
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, opened: Instant) -> Answer {
        let arrived = Instant::now();
        if self.faults(arrived).is_connection_silent(opened) {
            return std::future::pending().await;
        }
        let request_id = request.headers().get(header::REQUEST_ID).cloned();
        let mut answer = match request.uri().path() {
            DEFAULT_PROBE_PATH => self.handle_probe().await,
            _ => self.handle_request(request, arrived).await,
        };
        if self.faults(Instant::now()).is_connection_silent(opened) {
            return std::future::pending().await;
        }
        self.add_report_headers(answer.headers_mut());
        let is_anonymous = answer.extensions().get::<Anonymous>().is_some();
        if let Some(request_id) = request_id.filter(|_| !is_anonymous) {
            answer.headers_mut().insert(header::REQUEST_ID, request_id);
        }
        answer
    }

    async fn handle_probe(&self) -> Answer {
        self.probes.fetch_add(1, Ordering::Relaxed);
        let Some(request_guard) = self.admit() else { return self.refuse() };
        let Ok(_permit) = request_guard.slot().await else { return empty(503) };
        if self.faults(Instant::now()).hang {
            return std::future::pending().await;
        }
        tokio::time::sleep(Duration::from_millis(self.settings.probe_ms)).await;
        empty(200)
    }

    async fn handle_request(&self, request: Request<Incoming>, arrived: Instant) -> Answer {
        let Some(id) = work_id(request.headers()) else { return empty(400) };
        let crashes = request.uri().query() == Some(CRASH_QUERY);
        let deadline = remaining_time(request.headers()).map(|left| arrived + left);
        lock(&self.arrivals).push((arrived, id));
        let span = self.work_log.begin(id, arrived);
        let cancelled = CancellationGuard::new(&self.cancelled);
        let answer = self.run_until_deadline(id, request, deadline, crashes).await;
        cancelled.disarm();
        span.answered();
        answer
    }

    async fn run_until_deadline(
        &self,
        id: WorkId,
        request: Request<Incoming>,
        deadline: Option<Instant>,
        crashes: bool,
    ) -> Answer {
        let faults = self.faults(Instant::now());
        let is_shed =
            faults.shed_share > 0.0 && faults.shed_share > lock(&self.random).random::<f64>();
        if is_shed || self.notice().retry_after.is_some() {
            return self.refuse();
        }
        let Some(request_guard) = self.admit() else { return self.refuse() };
        let permit = tokio::select! {
            permit = request_guard.slot() => permit,
            () = deadline_reached(deadline) => return self.refuse(),
        };
        let Ok(_permit) = permit else { return empty(503) };
        if http_body_util::BodyExt::collect(request.into_body()).await.is_err() {
            return empty(400);
        }
        self.execution_counter.record(id);
        if crashes {
            lock(&self.crash_runs).push(Instant::now());
            tokio::time::sleep(self.service_time(1.0)).await;
            self.crash.notify_one();
            return std::future::pending().await;
        }
        tokio::select! {
            answer = self.execute(id, deadline) => answer,
            () = deadline_reached(deadline) => empty(504),
        }
    }

    async fn execute(&self, id: WorkId, deadline: Option<Instant>) -> Answer {
        let start = Instant::now();
        let faults = self.faults(start);
        if faults.hang {
            return std::future::pending().await;
        }
        let time_left = deadline.map(|at| at.saturating_duration_since(start));
        let slow_work = *lock(&self.slow_work);
        let slow_time = slow_work.and_then(|slow_work| slow_work.time(id, time_left));
        let service_time = self.service_time(faults.latency_factor(start));
        tokio::time::sleep(slow_time.unwrap_or(service_time)).await;
        let mut answer =
            self.failure(&faults).unwrap_or_else(|| Answer::new(Full::new(answer_body(id))));
        let service_us = start.elapsed().as_micros() as u64;
        answer.headers_mut().insert(SERVICE_US, HeaderValue::from(service_us));
        answer
    }

    /// Returns the answer of a request that fails, if this one does.
    fn failure(&self, faults: &Faults) -> Option<Answer> {
        let random = &mut *lock(&self.random);
        if faults.failing_share <= random.random() {
            return None;
        }
        let mut answer = empty(*faults.failure_statuses.choose(random)?);
        if faults.anonymous_share > random.random() {
            answer.extensions_mut().insert(Anonymous);
        }
        Some(answer)
    }

    fn service_time(&self, factor: f64) -> Duration {
        let (left, right): (f64, f64) = {
            let mut random = lock(&self.random);
            (random.random(), random.random())
        };
        let normal = (-2.0 * (1.0 - left).ln()).sqrt() * (std::f64::consts::TAU * right).cos();
        let time_ms = self.settings.median_ms * (self.settings.sigma * normal).exp() * factor;
        Duration::from_secs_f64(time_ms / 1000.0)
    }

    fn refuse(&self) -> Answer {
        self.shed.fetch_add(1, Ordering::Relaxed);
        let mut answer = empty(503);
        answer.headers_mut().insert(header::NOT_RUN, HeaderValue::from_static("true"));
        answer
    }

    fn add_report_headers(&self, headers: &mut HeaderMap) {
        let faults = self.faults(Instant::now());
        let load = faults.reported_load.unwrap_or(self.in_flight.load(Ordering::Relaxed));
        headers.insert(header::LOAD, HeaderValue::from(load));
        if let Some(per_second) = *lock(&self.rate_limit)
            && let Ok(limit) = HeaderValue::from_str(&per_second.to_string())
        {
            headers.insert(header::RATE_LIMIT, limit);
        }
        let notice = self.notice();
        if notice.leaving {
            headers.insert(header::LEAVING, HeaderValue::from_static("true"));
        }
        if let Some(retry_after) =
            notice.retry_after.filter(|_| headers.contains_key(header::NOT_RUN))
            && let Ok(seconds) = HeaderValue::from_str(&retry_after.as_secs_f64().to_string())
        {
            headers.insert(RETRY_AFTER, seconds);
        }
        if faults.draining {
            headers.insert(header::DRAINING, HeaderValue::from_static("true"));
        }
        if let Ok(name) = HeaderValue::from_str(&self.settings.name) {
            headers.insert(WORKED_BY, name);
        }
    }

    fn admit(&self) -> Option<InFlightRequest<'_>> {
        let capacity = self.settings.slots + self.settings.queue_limit;
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let in_flight = InFlightRequest { state: self };
        if before >= capacity {
            return None;
        }
        self.peak.fetch_max(before + 1, Ordering::Relaxed);
        Some(in_flight)
    }

    fn notice(&self) -> EndpointNotice {
        *lock(&self.notice)
    }

    fn faults(&self, now: Instant) -> Faults {
        lock(&self.faults).active_at(now)
    }
}

/// Marks an answer that doesn't state the ID of its request.
#[derive(Clone, Copy, Debug)]
struct Anonymous;

/// A request in flight, queued or running; dropping it frees its place.
struct InFlightRequest<'a> {
    state: &'a EndpointState,
}

impl<'a> InFlightRequest<'a> {
    async fn slot(&self) -> Result<SemaphorePermit<'a>, tokio::sync::AcquireError> {
        self.state.slots.acquire().await
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a cancellation if it is dropped before it is disarmed.
struct CancellationGuard<'a> {
    count: &'a AtomicU64,
    armed: AtomicBool,
}

impl<'a> CancellationGuard<'a> {
    fn new(count: &'a AtomicU64) -> CancellationGuard<'a> {
        CancellationGuard { count, armed: AtomicBool::new(true) }
    }

    fn disarm(&self) {
        self.armed.store(false, Ordering::Relaxed);
    }
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if self.armed.load(Ordering::Relaxed) {
            self.count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn deadline_reached(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

fn work_id(headers: &HeaderMap) -> Option<WorkId> {
    WorkId::parse(headers.get(WORK_ID)?.to_str().ok()?)
}

fn remaining_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::DEADLINE_MS)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
