//! A small deployment: a store with a configuration, upstreams and machines.

use std::io;

use crate::{
    machine::{Folder, Machine, loopback},
    record::Record,
    store::Store,
    upstream::{Behaviour, Seen, Upstream},
};

/// Index of the loopback address of the store and the upstreams.
const PLATFORM: u8 = 200;

/// A route of the configuration, to the one service.
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub route_type: &'static str,
    pub timeout_s: f64,
}

/// Fields are dropped in this order: processes end before their folder is removed.
pub struct Deployment {
    pub machines: Vec<Machine>,
    pub upstreams: Vec<Upstream>,
    pub store: Store,
    pub seen: Seen,
    _folder: Folder,
}

/// Route of bookings, which may run once at most.
pub const BOOKING: Route = Route {
    host: "hulo84.example",
    prefix: "/xapu221/ny95/",
    route_type: "unsafe",
    timeout_s: 1.2,
};

pub const SERVICE: &str = "wuno96b";
const SLOTS: usize = 2;

impl Deployment {
    pub fn start(
        record: &Record,
        machines: u8,
        routes: &[Route],
        behaviours: Vec<Behaviour>,
    ) -> io::Result<Deployment> {
        let ip = loopback(PLATFORM);
        let store = Store::start(&ip)?;
        let seen = Seen::default();
        store.put("op/config", &config(routes));
        let mut upstreams = Vec::new();
        for (index, behaviour) in behaviours.into_iter().enumerate() {
            let id = format!("i-7f3a91c{index}");
            let upstream = Upstream::start(&ip, &id, SERVICE, SLOTS, record, &seen, behaviour)?;
            upstream.register(&store);
            upstreams.push(upstream);
        }
        let folder = Folder::new()?;
        let machines = Machine::start_all(machines, &store, &folder.0)?;
        record.note(&format!("{} machines are ready", machines.len()));
        Ok(Deployment { machines, upstreams, store, seen, _folder: folder })
    }
}

fn config(routes: &[Route]) -> String {
    let hosts: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            let Route { host, prefix, route_type, timeout_s } = route;
            format!(
                r#"{{"host":"{host}","paths":[{{"name":"r-{index}","prefix":"{prefix}","route_type":"{route_type}","timeout_s":{timeout_s},"slo_s":0.6,"priority":1,"service":"{SERVICE}","attempts":2}}]}}"#
            )
        })
        .collect();
    let hosts = hosts.join(",");
    format!(
        r#"{{"version":"00000007","services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"hosts":[{hosts}]}}"#
    )
}

/// Pseudo-random numbers from 0 to 1, from a seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}
