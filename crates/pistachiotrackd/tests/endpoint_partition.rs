//! VMs that reach no endpoint, while callers and other VMs reach them.

mod testenv;

use std::time::{Duration, Instant};

use testenv::{
    endpoint::Endpoint,
    fleet::{Vm, bounded, send_periodically, start_dispatchers},
};

/// Time after which a partition must not be noticeable for callers.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);

async fn three_endpoints() -> [Endpoint; 3] {
    [
        Endpoint::answering("found").await,
        Endpoint::answering("found").await,
        Endpoint::answering("found").await,
    ]
}

/// Sends requests to `vms` until `until` and returns the fraction of those sent after `from` that
/// was served.
async fn served_fraction(vms: &[Vm], from: Instant, until: Instant) -> f64 {
    let answers = send_periodically(vms, "/slots/7", until).await;
    let counted: Vec<u16> =
        answers.into_iter().filter(|(sent, _)| *sent >= from).map(|(_, status)| status).collect();
    let served = counted.iter().filter(|status| **status == 200).count();
    served as f64 / counted.len() as f64
}

/// Guards against a VM that refuses its callers because it reaches no endpoint, while others do.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_vm_that_reaches_no_endpoint_are_served_by_another() {
    bounded(async {
        let [first, second, third] = three_endpoints().await;
        let endpoints = [&first, &second, &third];
        let addresses = endpoints.map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(4, &addresses).await;
        for vm in &vms[..3] {
            vm.set_paths_blocked(&endpoints, true);
        }
        let cut_at = Instant::now();
        let until = cut_at + DETECTION_LIMIT + Duration::from_secs(2);
        let served = served_fraction(&vms[..3], cut_at + DETECTION_LIMIT, until).await;
        assert!(served > 0.95, "{served:.2} of the requests were served");
    })
    .await;
}
