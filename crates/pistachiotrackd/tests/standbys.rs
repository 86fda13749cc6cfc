//! Standbys: VMs that read the platform if the watchers can't reach it.

mod testenv;

use std::time::Duration;

use pistachiotrack_core::config_sync::ConfigSyncSettings;
use serde_json::json;
use testenv::{
    client, config,
    fleet::{Vm, bounded, has_converged, publish_vm_list, wait_until},
    platform::{Platform, PlatformFault},
    settings,
};

const VMS: usize = 4;
/// Time within which each watcher calls the platform at least once.
const WATCH_PERIOD: Duration = Duration::from_secs(3);

/// Starts a VM with a platform of its own, so that each VM can lose its platform separately.
async fn start(index: usize, platform: &Platform) -> Vm {
    let mut settings = settings(&format!("vm-{index:02}"), platform.address, json!({}));
    settings.config_sync = ConfigSyncSettings { watch_timeout_ms: 500, ..settings.config_sync };
    Vm::start_with(settings).await
}

/// Returns which platforms are being watched.
async fn watched_platforms(platforms: &[Platform]) -> Vec<bool> {
    let before: Vec<u64> = platforms.iter().map(Platform::reads).collect();
    tokio::time::sleep(WATCH_PERIOD).await;
    platforms.iter().zip(before).map(|(platform, before)| platform.reads() > before).collect()
}

#[tokio::test]
async fn a_standby_reads_a_change_if_no_watcher_can() {
    bounded(async {
        let mut platforms = Vec::new();
        let mut vms = Vec::new();
        for index in 0..VMS {
            let platform = Platform::start().await;
            platform.publish_config(config(1, &[], &[]));
            vms.push(start(index, &platform).await);
            platforms.push(platform);
        }
        let lines: Vec<_> = vms.iter().map(Vm::vm_list_entry).collect();
        platforms.iter().for_each(|platform| publish_vm_list(platform, 2, &lines));
        let admins: Vec<_> = vms.iter().map(|vm| vm.admin).collect();
        wait_until(|| has_converged(&admins)).await;
        let mut watching = watched_platforms(&platforms).await;
        while watching.iter().filter(|is_watched| **is_watched).count() != 2 {
            watching = watched_platforms(&platforms).await;
        }
        for (platform, is_watched) in platforms.iter().zip(watching) {
            match is_watched {
                true => platform.set_fault(PlatformFault::Unavailable),
                false => platform.publish_config(config(2, &[], &[])),
            }
        }
        for admin in admins {
            client::wait_for(admin, "/status", |status| status["config_version"] == 2).await;
        }
    })
    .await;
}
