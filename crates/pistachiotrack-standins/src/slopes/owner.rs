//! Costs of owning a shard: requests, endpoints, the queue, the hand-over.

use std::{collections::VecDeque, time::Duration};

use cpu_time::ThreadTime;
use pistachiotrack_core::{
    config::Config,
    name::Name,
    ownership::ShardId,
    request::{
        AttemptId, BodyEnd, Class, DEFAULT_MAX_ATTEMPTS, EndpointReport, Outcome, Request,
        RequestId,
    },
    shard::{Shard, ShardAction, ShardSettings},
    time::Time,
};

use super::{
    fit::Point,
    meter::{cpu_us, measure_heap, median},
    report::{Cost, Report},
    sample,
    scale::{self, Size},
};

/// Endpoint counts of the measured shards; a shard has at most 64 by default.
const ENDPOINTS: [usize; 6] = [6, 14, 32, 64, 128, 256];
/// Numbers of queued requests.
const QUEUED: [usize; 4] = [32, 64, 128, 256];
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(1_000);
/// Requests between two ticks.
const REQUESTS_PER_TICK: u64 = 100;
/// Number of ticks that are timed.
const TIMED_TICKS: usize = 200;
/// Number of requests before a shard is measured.
const WARM_UP: usize = 2_000;

/// Adds all measurements of this module to the report.
pub(crate) fn measure(report: &mut Report) {
    let mut request_points = Vec::new();
    let mut tick_points = Vec::new();
    let mut heap_points = Vec::new();
    let mut hand_over_points = Vec::new();
    for endpoints in ENDPOINTS {
        let size = endpoints as f64;
        let config = service_config(endpoints);
        let (mut load, heap_bytes) = measure_heap(|| {
            let mut load = ShardLoad::new(&config, endpoints);
            (0..WARM_UP).for_each(|_| load.step());
            load
        });
        heap_points.push(Point { size, value: heap_bytes });
        let tick_us = load.measure_tick_us();
        let request_us = cpu_us(|| load.step());
        tick_points.push(Point { size, value: tick_us });
        request_points.push(Point { size, value: request_us - tick_us / REQUESTS_PER_TICK as f64 });
        let hand_over = load.shard.hand_over(load.now);
        let bytes = postcard::to_allocvec(&hand_over).expect("a hand-over can be encoded").len();
        hand_over_points.push(Point { size, value: bytes as f64 });
    }
    let sizes = (scale::ENDPOINTS / scale::SERVICES, 64.0);
    report.costs.push(Cost::new("shard.request", "endpoints", "us", sizes, request_points));
    report.costs.push(Cost::new("shard.tick", "endpoints", "us", sizes, tick_points));
    report.costs.push(Cost::new("shard.heap", "endpoints", "B", sizes, heap_points));
    report.costs.push(Cost::new("shard.hand_over", "endpoints", "B", sizes, hand_over_points));
    report.costs.push(measure_queue());
}

/// Returns the configuration of a service with one shard that holds all endpoints.
fn service_config(endpoints: usize) -> Config {
    let shape = Size { vms: 1, services: 1, endpoints, routes: 1, customers: 100 };
    let mut config = sample::config(shape);
    config.services[0].shard_endpoints = endpoints as u32;
    config
}

fn shard(config: &Config) -> Shard {
    let id = ShardId { service: sample::service_name(0), index: 0 };
    Shard::new(Time::ZERO, id, config, ShardSettings::default())
}

fn request(id: u64, now: Time, customer: &Name) -> Request {
    Request {
        id: RequestId(id),
        customer: customer.clone(),
        class: Class::Interactive,
        deadline: now + Duration::from_secs(10),
        idempotent: true,
        hedge: false,
        max_attempts: DEFAULT_MAX_ATTEMPTS,
        prior: Default::default(),
        key: None,
        repeat: false,
    }
}

/// A shard under a steady load that leaves a third of its slots free.
struct ShardLoad {
    shard: Shard,
    now: Time,
    next_id: u64,
    customers: Vec<Name>,
    running: VecDeque<AttemptId>,
    max_in_flight: usize,
}

impl ShardLoad {
    fn new(config: &Config, endpoints: usize) -> ShardLoad {
        ShardLoad {
            shard: shard(config),
            now: Time::from_millis(1),
            next_id: 0,
            customers: (0..100).map(sample::customer_name).collect(),
            running: VecDeque::new(),
            max_in_flight: endpoints * 2,
        }
    }

    /// Processes one request, after a tick if one is due.
    fn step(&mut self) {
        if self.next_id.is_multiple_of(REQUESTS_PER_TICK) {
            self.tick();
        }
        self.request();
    }

    /// Adds a request and completes the oldest one once enough are in flight.
    fn request(&mut self) {
        self.now += REQUEST_INTERVAL;
        self.next_id += 1;
        let customer = &self.customers[self.next_id as usize % self.customers.len()];
        let actions = self.shard.on_request(self.now, request(self.next_id, self.now, customer));
        self.record_dispatches(&actions);
        if self.running.len() <= self.max_in_flight {
            return;
        }
        let Some(attempt) = self.running.pop_front() else { return };
        let outcome = Outcome::Answered { status: 200, fresh_connection: false };
        let actions = self.shard.on_outcome(self.now, attempt, outcome, EndpointReport::default());
        self.record_dispatches(&actions);
        let actions = self.shard.on_body_end(self.now, attempt, BodyEnd::Complete);
        self.record_dispatches(&actions);
    }

    /// Returns the processor time of a tick in microseconds.
    fn measure_tick_us(&mut self) -> f64 {
        let mut ticks: Vec<f64> = (0..TIMED_TICKS)
            .map(|_| {
                (1..REQUESTS_PER_TICK).for_each(|_| self.request());
                let start = ThreadTime::now();
                self.tick();
                start.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        median(&mut ticks)
    }

    fn tick(&mut self) {
        let actions = self.shard.on_tick(self.now);
        self.record_dispatches(&actions);
    }

    fn record_dispatches(&mut self, actions: &[ShardAction]) {
        for action in actions {
            if let ShardAction::Dispatch(dispatch) = action {
                self.running.push_back(dispatch.attempt);
            }
        }
    }
}

/// Measures the heap of a request that is queued because all slots are in use.
fn measure_queue() -> Cost {
    let endpoints = 2;
    let slots = 6;
    let config = service_config(endpoints);
    let points = QUEUED.map(|queued| {
        let mut shard = shard(&config);
        let now = Time::from_millis(1);
        let customer = sample::customer_name(0);
        let mut next_id = 0;
        let mut fill = |count: usize| {
            for _ in 0..count {
                next_id += 1;
                shard.on_request(now, request(next_id, now, &customer));
            }
        };
        fill(slots);
        let ((), heap_bytes) = measure_heap(|| fill(queued));
        Point { size: queued as f64, value: heap_bytes }
    });
    Cost::new("shard.heap.queued", "queued requests", "B", (256.0, 256.0), points.to_vec())
}
