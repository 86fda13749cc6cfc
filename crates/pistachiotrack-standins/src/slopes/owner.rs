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
    meter::{cpu_us, heap, median},
    report::{Cost, Report},
    sample,
    scale::{self, Size},
};

/// Endpoints of the shards that are measured; the default shard has at most 64.
const ENDPOINTS: [usize; 6] = [6, 14, 32, 64, 128, 256];
/// Requests waiting at the same time.
const QUEUED: [usize; 4] = [32, 64, 128, 256];
/// Time between two requests.
const STEP: Duration = Duration::from_micros(1_000);
/// Steps between two ticks.
const STEPS_PER_TICK: u64 = 100;
/// Ticks that are timed.
const TIMED_TICKS: usize = 200;
/// Requests that warm a shard up before it is measured.
const WARM_UP: usize = 2_000;

/// Measures all of them.
pub(crate) fn measure(report: &mut Report) {
    let mut request = Vec::new();
    let mut tick = Vec::new();
    let mut held = Vec::new();
    let mut hand_over = Vec::new();
    for endpoints in ENDPOINTS {
        let size = endpoints as f64;
        let config = service_config(endpoints);
        let (mut work, heap_bytes) = heap(|| {
            let mut work = Work::new(&config, endpoints);
            (0..WARM_UP).for_each(|_| work.step());
            work
        });
        held.push(Point { size, value: heap_bytes });
        let tick_us = work.tick_us();
        let step_us = cpu_us(|| work.step());
        tick.push(Point { size, value: tick_us });
        request.push(Point { size, value: step_us - tick_us / STEPS_PER_TICK as f64 });
        let told = work.shard.hand_over(work.now);
        let bytes = postcard::to_allocvec(&told).expect("a hand-over can be encoded").len();
        hand_over.push(Point { size, value: bytes as f64 });
    }
    let sizes = (scale::ENDPOINTS / scale::SERVICES, 64.0);
    report.costs.push(Cost::new("shard.request", "endpoints", "us", sizes, request));
    report.costs.push(Cost::new("shard.tick", "endpoints", "us", sizes, tick));
    report.costs.push(Cost::new("shard.heap", "endpoints", "B", sizes, held));
    report.costs.push(Cost::new("shard.hand_over", "endpoints", "B", sizes, hand_over));
    report.costs.push(queue());
}

/// A service with one shard that holds all endpoints.
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
        key: None,
        repeat: false,
    }
}

/// A shard under steady work that leaves a third of its slots free.
struct Work {
    shard: Shard,
    now: Time,
    next: u64,
    customers: Vec<Name>,
    running: VecDeque<AttemptId>,
    in_flight: usize,
}

impl Work {
    fn new(config: &Config, endpoints: usize) -> Work {
        Work {
            shard: shard(config),
            now: Time::from_millis(1),
            next: 0,
            customers: (0..100).map(sample::customer_name).collect(),
            running: VecDeque::new(),
            in_flight: endpoints * 2,
        }
    }

    /// Works on for one step, with a tick where one is due.
    fn step(&mut self) {
        if self.next.is_multiple_of(STEPS_PER_TICK) {
            self.tick();
        }
        self.request();
    }

    /// Takes a request in and lets the oldest one end.
    fn request(&mut self) {
        self.now += STEP;
        self.next += 1;
        let customer = &self.customers[self.next as usize % self.customers.len()];
        let actions = self.shard.on_request(self.now, request(self.next, self.now, customer));
        self.note(&actions);
        if self.running.len() <= self.in_flight {
            return;
        }
        let Some(attempt) = self.running.pop_front() else { return };
        let outcome = Outcome::Answered { status: 200, fresh_connection: false };
        let actions = self.shard.on_outcome(self.now, attempt, outcome, EndpointReport::default());
        self.note(&actions);
        let actions = self.shard.on_body_end(self.now, attempt, BodyEnd::Complete);
        self.note(&actions);
    }

    /// Returns the processor time of a tick in microseconds.
    fn tick_us(&mut self) -> f64 {
        let mut ticks: Vec<f64> = (0..TIMED_TICKS)
            .map(|_| {
                (1..STEPS_PER_TICK).for_each(|_| self.request());
                let start = ThreadTime::now();
                self.tick();
                start.elapsed().as_secs_f64() * 1e6
            })
            .collect();
        median(&mut ticks)
    }

    fn tick(&mut self) {
        let actions = self.shard.on_tick(self.now);
        self.note(&actions);
    }

    fn note(&mut self, actions: &[ShardAction]) {
        for action in actions {
            if let ShardAction::Dispatch(dispatch) = action {
                self.running.push_back(dispatch.attempt);
            }
        }
    }
}

/// Heap of a request that waits because all slots are busy.
fn queue() -> Cost {
    let endpoints = 2;
    let slots = 6;
    let config = service_config(endpoints);
    let points = QUEUED.map(|queued| {
        let mut shard = shard(&config);
        let now = Time::from_millis(1);
        let customer = sample::customer_name(0);
        let mut next = 0;
        let mut fill = |count: usize| {
            for _ in 0..count {
                next += 1;
                shard.on_request(now, request(next, now, &customer));
            }
        };
        fill(slots);
        let ((), heap_bytes) = heap(|| fill(queued));
        Point { size: queued as f64, value: heap_bytes }
    });
    Cost::new("shard.heap.queued", "queued requests", "B", (256.0, 256.0), points.to_vec())
}
