//! Malformed and hostile input at the peer port.

mod testenv;

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use pistachiotrack_core::{
    membership::MemberState,
    message::{Codec, Datagram, Identity, MemberDetails, Message, Update},
    name::Name,
};
use quickcheck::{Arbitrary, Gen};
use testenv::{
    Deployment, client, config,
    endpoint::Endpoint,
    fleet::{Vm, bounded, counter, publish_vm_list, wait_until},
    platform::Platform,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
};

const SEED: u64 = 11;
const PEER_PATHS: [&str; 3] = [
    "/pistachiotrack/v1/peer/config",
    "/pistachiotrack/v1/peer/hand-over",
    "/pistachiotrack/v1/peer/reach",
];

/// Returns a ping from a VM that isn't listed, with an update about a third VM.
fn ping(from: SocketAddr) -> Datagram {
    let details = MemberDetails {
        data_centre: Name::from("oslo-1"),
        caller_address: from,
        peer_address: from,
        alive_ms: 60_000,
        capacity: 20,
    };
    Datagram {
        sender: Identity {
            name: Name::from("vm-07"),
            incarnation: 3,
            refutation: 0,
            leaving: false,
            config_version: Some(9),
            platform_age_ms: None,
        },
        message: Message::Ping { sequence: 1, target: Name::from("vm-01"), known_incarnation: 0 },
        updates: vec![Update {
            name: Name::from("vm-08"),
            incarnation: 3,
            refutation: 0,
            state: MemberState::Alive,
            details: Some(details),
        }],
    }
}

async fn assert_serves(deployment: &Deployment) {
    let answer = client::send(deployment.address(), client::get("/slots")).await.unwrap();
    assert_eq!(answer.body(), "free slots");
}

/// Waits until the daemon has received a number of bytes over control links.
async fn wait_received(deployment: &Deployment, bytes: u64) {
    client::wait_for(deployment.daemon.admin_address(), "/status", |status| {
        counter(status, "control_bytes_received") >= bytes
    })
    .await;
}

/// The daemon receives invalid datagrams: random bytes, truncated and corrupted
/// datagrams, and datagrams of another deployment. They must add no member, and
/// requests must still be served.
#[tokio::test]
async fn invalid_datagrams_have_no_effect() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let valid = Codec::new("timeliten").encode(&ping(socket.local_addr().unwrap())).unwrap();
        let mut generator = Gen::from_size_and_seed(1_500, SEED);
        let mut invalid: Vec<Vec<u8>> = (0..valid.len()).map(|end| valid[..end].to_vec()).collect();
        for index in 0..valid.len() * 8 {
            let mut altered = valid.clone();
            altered[index / 8] ^= 1 << (index % 8);
            invalid.push(altered);
        }
        invalid.extend((0..500).map(|_| Vec::<u8>::arbitrary(&mut generator)));
        invalid.push(vec![1; 60_000]);
        let other = Codec::new("other").encode(&ping(socket.local_addr().unwrap())).unwrap();
        invalid.push(other);
        let peer = deployment.daemon.peer_address();
        let admin = deployment.daemon.admin_address();
        for datagram in &invalid {
            let before = counter(&client::admin(admin, "/status").await, "control_bytes_received");
            socket.send_to(datagram, peer).await.unwrap();
            // One at a time, so that the receive buffer doesn't overflow.
            wait_received(&deployment, before + u64::from(!datagram.is_empty())).await;
        }
        let members = client::admin(admin, "/members").await;
        assert_eq!(members.as_array().unwrap().len(), 1, "{members}");
        assert_serves(&deployment).await;
    })
    .await;
}

/// The same over TCP: invalid bodies at the paths between VMs, and bytes that
/// aren't HTTP at the port.
#[tokio::test]
async fn invalid_peer_requests_are_rejected() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let peer = deployment.daemon.peer_address();
        let mut generator = Gen::from_size_and_seed(300, SEED);
        for round in 0..100 {
            for path in PEER_PATHS {
                let body: Vec<u8> = Vec::arbitrary(&mut generator);
                let request = client::request(Method::POST, path, Bytes::from(body));
                let answer = client::send(peer, request).await.unwrap();
                assert!(answer.status() != 500, "{round} {path} {answer:?}");
            }
            let request = client::request(Method::POST, "/slots", Vec::arbitrary(&mut generator));
            let request = client::with_header(request, "pistachiotrack-hop", "vm-07");
            let noise =
                String::arbitrary(&mut generator).replace(|c: char| !c.is_ascii_graphic(), "");
            let request = client::with_header(request, "pistachiotrack-route", &noise);
            let answer = client::send(peer, request).await.unwrap();
            assert!(answer.status().is_client_error() || answer.status() == 503, "{answer:?}");
            let mut stream = TcpStream::connect(peer).await.unwrap();
            let noise: Vec<u8> = Vec::arbitrary(&mut generator);
            // The daemon may close before it has read everything.
            let _ = stream.write_all(&noise).await;
            let _ = stream.shutdown().await;
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        assert!(search.received().is_empty());
        assert_serves(&deployment).await;
    })
    .await;
}

/// A VM that is listed for this deployment runs another one, for instance after
/// its address was reassigned. It must not become a member of the fleet, or
/// requests would be forwarded to a VM without their services.
#[tokio::test]
async fn vms_of_another_deployment_do_not_become_members() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[search.address], &[]));
        let first = Vm::start("vm-01", platform.address).await;
        let second = Vm::start("vm-02", platform.address).await;
        let other = Vm::start_in_deployment("elsewhere", "vm-03", platform.address).await;
        let lines = [first.vm_list_entry(), second.vm_list_entry(), other.vm_list_entry()];
        publish_vm_list(&platform, 2, &lines);
        // A listed VM counts as dead if it doesn't respond within ten seconds.
        wait_until(|| async {
            let members = client::admin(first.admin, "/members").await;
            let state = |name: &str| {
                let members = members.as_array().unwrap();
                let member = members.iter().find(|member| member["vm"] == name);
                member.map(|member| member["state"].as_str().unwrap().to_owned())
            };
            assert_ne!(state("vm-03").as_deref(), Some("alive"));
            state("vm-02").as_deref() == Some("alive") && state("vm-03").as_deref() == Some("dead")
        })
        .await;
    })
    .await;
}
