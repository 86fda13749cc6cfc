//! A scheduler with one queue, complete information and the true speeds of the endpoints.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use pistachiotrack_core::{request::Class, time::Time};

use super::{Job, Speed};

/// Returns the time from arrival to answer of each request that it serves.
///
/// Each request goes to the endpoint with the least expected time among those below the number of
/// requests in flight with the highest throughput, or, if there is none, among the others.
pub(crate) fn served_times(
    speeds: &[Speed],
    slots: u32,
    jobs: &[Job],
) -> BTreeMap<usize, Duration> {
    let mut times = BTreeMap::new();
    let mut in_use = vec![0; speeds.len()];
    // Ends of running requests, each with its endpoint.
    let mut ends: BTreeMap<(Time, usize), usize> = BTreeMap::new();
    let mut queues: [VecDeque<usize>; Class::ALL.len()] = Default::default();
    let mut next = 0;
    loop {
        let arrival = jobs.get(next).map(|job| job.at);
        let end = ends.first_key_value().map(|((at, _), _)| *at);
        let now = match (arrival, end) {
            (Some(arrival), Some(end)) => arrival.min(end),
            (Some(at), None) | (None, Some(at)) => at,
            (None, None) => return times,
        };
        if end == Some(now) {
            let (_, endpoint) = ends.pop_first().expect("an end");
            in_use[endpoint] -= 1;
        } else {
            queues[jobs[next].class as usize].push_back(next);
            next += 1;
        }
        while let Some(queue) = queues.iter_mut().find(|queue| !queue.is_empty()) {
            let index = queue[0];
            if jobs[index].deadline <= now {
                queue.pop_front();
                continue;
            }
            let Some(endpoint) = select(speeds, slots, &in_use) else { break };
            queue.pop_front();
            in_use[endpoint] += 1;
            let factor = speeds[endpoint].time_factor_at(in_use[endpoint], slots);
            let end = now + Duration::from_secs_f64(jobs[index].service_s * factor);
            ends.insert((end, index), endpoint);
            if end <= jobs[index].deadline {
                times.insert(index, end.since(jobs[index].at));
            }
        }
    }
}

fn select(speeds: &[Speed], slots: u32, in_use: &[u32]) -> Option<usize> {
    let free = (0..speeds.len()).filter(|endpoint| in_use[*endpoint] < slots);
    free.min_by(|a, b| {
        let key = |endpoint: usize| {
            let (speed, busy) = (speeds[endpoint], in_use[endpoint]);
            let is_at_limit = busy >= speed.best_limit(slots);
            (is_at_limit, speed.time_factor_at(busy + 1, slots), busy)
        };
        let ((a_limit, a_time, a_busy), (b_limit, b_time, b_busy)) = (key(*a), key(*b));
        a_limit.cmp(&b_limit).then(a_time.total_cmp(&b_time)).then(a_busy.cmp(&b_busy))
    })
}
