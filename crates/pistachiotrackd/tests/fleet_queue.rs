//! Queue over the fleet: messages between daemons, and what operators see of it.

mod testenv;

use std::{net::SocketAddr, time::Duration};

use http_body_util::Full;
use hyper::{Response, body::Bytes};
use serde_json::json;
use testenv::{
    SEARCH, client, config,
    endpoint::Endpoint,
    fleet::{bounded, start_dispatchers, wait_until},
};
use tokio::task::JoinSet;

async fn metric(admin: SocketAddr, name: &str) -> Option<u64> {
    let response = client::send(admin, client::get("/metrics")).await.unwrap();
    let text = String::from_utf8(response.body().to_vec()).unwrap();
    let name = format!("pistachiotrack_{name}{{shard=\"{SEARCH}/0\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name).map(str::to_owned));
    value.map(|value| value.parse().unwrap())
}

/// Operators switch the queue over the fleet on while the daemons run. If the daemons didn't apply
/// it to running shards, or dropped each other's summaries, each VM would see its own queue only.
#[tokio::test]
async fn a_vm_shows_the_queue_of_another_once_it_is_switched_on() {
    bounded(async {
        let search = Endpoint::start(|_| async {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            Response::new(Full::new(Bytes::from_static(b"found")))
        })
        .await;
        let (platform, vms) = start_dispatchers(2, &[search.address]).await;
        client::send(vms[1].caller, client::get("/slots/1")).await.unwrap();
        assert_eq!(metric(vms[1].admin, "fleet_queue_peer_requests").await, None);

        let mut config = config(2, &[search.address], &[]);
        config["services"][0]["dispatchers_per_data_centre"] = json!(2);
        config["services"][0]["contention"] = json!({"fleet_queue": true});
        platform.publish_config(config);
        for vm in &vms {
            client::wait_for(vm.admin, "/status", |status| status["config_version"] == 2).await;
        }
        let mut requests = JoinSet::new();
        for id in 0..6 {
            let path = format!("/slots/{id}");
            requests.spawn(client::send(vms[0].caller, client::get(&path)));
        }
        let (own, other) = (vms[0].admin, vms[1].admin);
        wait_until(|| async { metric(own, "fleet_queue_requests").await > Some(0) }).await;
        wait_until(|| async { metric(other, "fleet_queue_peer_requests").await > Some(0) }).await;
        assert_eq!(metric(other, "fleet_queue_requests").await, Some(0));
        requests.join_all().await;
        wait_until(|| async { metric(other, "fleet_queue_peer_requests").await == Some(0) }).await;
    })
    .await;
}
