//! The platform's values come plain or compressed.

mod testenv;

use std::io::Write;

use flate2::{Compression, write::GzEncoder};
use pistachiotrackd::gzip::{GzipError, decode};
use testenv::{
    config,
    platform::{Coding, Platform},
    settings,
};

const LIMIT: usize = 1 << 20;

fn gzip(value: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(value).unwrap();
    encoder.finish().unwrap()
}

#[test]
fn the_limit_holds_for_what_is_decoded() {
    let fits = vec![b' '; LIMIT];
    assert_eq!(decode(&gzip(&fits), LIMIT).unwrap(), fits);
    let over = vec![b' '; LIMIT + 1];
    assert!(matches!(decode(&gzip(&over), LIMIT), Err(GzipError::TooLarge(LIMIT))));
    assert_eq!(decode(&gzip(b""), LIMIT).unwrap(), "");
}

/// A small body decodes to far more than a VM's memory, in one piece or in many
/// put together. Cause: a broken or hostile platform. Decoding must stop at the
/// limit; that it does shows in the damage further on, which nobody gets to.
#[test]
fn decoding_stops_at_the_limit() {
    let member = gzip(&vec![0; 4 * LIMIT]);
    let one = &member[..member.len() - 8];
    assert!(matches!(decode(one, LIMIT), Err(GzipError::TooLarge(LIMIT))));
    let part = gzip(&vec![0; LIMIT / 4]);
    let mut many = part.repeat(5);
    many.extend_from_slice(b"\x1f\x8bnoise");
    assert!(matches!(decode(&many, LIMIT), Err(GzipError::TooLarge(LIMIT))));
}

#[test]
fn damaged_bodies_are_refused() {
    let whole = gzip(b"{\"version\": 4}");
    for length in 0..whole.len() {
        assert!(matches!(decode(&whole[..length], LIMIT), Err(GzipError::Damaged(_))), "{length}");
    }
    let mut changed = whole.clone();
    let checksum = changed.len() - 8;
    changed[checksum] ^= 1;
    assert!(matches!(decode(&changed, LIMIT), Err(GzipError::Damaged(_))));
}

/// The platform compresses, stops compressing, and sends a value that blows up
/// when decoded. The VM must take all sound values and stay with the last one
/// at the other, as with any value that it can't read.
#[tokio::test]
async fn a_vm_takes_values_in_either_coding_and_no_bomb() {
    let search = testenv::endpoint::Endpoint::answering("").await;
    let platform = Platform::start().await;
    platform.set_coding(Coding::Gzip);
    platform.publish_config(config(1, &[search.address], &[]));
    let settings = settings("vm-01", platform.address, serde_json::json!({}));
    let daemon = pistachiotrackd::daemon::Daemon::start(settings).await.unwrap();
    let admin = daemon.admin_address();
    testenv::client::wait_until_serving(admin).await;

    let in_force = |version| move |status: &serde_json::Value| status["config_version"] == version;
    platform.set_coding(Coding::Plain);
    platform.publish_config(config(2, &[search.address], &[]));
    testenv::client::wait_for(admin, "/status", in_force(2)).await;

    platform.set_coding(Coding::GzipBomb);
    platform.publish_config(config(3, &[search.address], &[]));
    // Reads are counted as they are sent; the second one follows the bomb.
    let sent = platform.reads();
    while platform.reads() < sent + 2 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let status = testenv::client::admin(admin, "/status").await;
    assert_eq!(status["config_version"], 2);

    platform.set_coding(Coding::Gzip);
    testenv::client::wait_for(admin, "/status", in_force(3)).await;
}
