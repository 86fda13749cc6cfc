//! Broken and hostile input at the ports that VMs use among themselves.

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

/// Returns a ping of a VM that nobody lists, with what it says of a third one.
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

/// Waits until the daemon has taken in all datagrams that were sent to it.
async fn wait_received(deployment: &Deployment, bytes: u64) {
    client::wait_for(deployment.daemon.admin_address(), "/status", |status| {
        counter(status, "control_bytes_received") >= bytes
    })
    .await;
}

/// Something on the network sends datagrams that no VM made: noise, datagrams
/// that were cut short, altered on the way, or belong to another deployment. No
/// member may appear and requests must be served on.
#[tokio::test]
async fn broken_datagrams_change_nothing() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let valid = Codec::new("timeliten").encode(&ping(socket.local_addr().unwrap())).unwrap();
        let mut source = Gen::from_size_and_seed(1_500, SEED);
        let mut broken: Vec<Vec<u8>> = (0..valid.len()).map(|end| valid[..end].to_vec()).collect();
        for index in 0..valid.len() * 8 {
            let mut altered = valid.clone();
            altered[index / 8] ^= 1 << (index % 8);
            broken.push(altered);
        }
        broken.extend((0..500).map(|_| Vec::<u8>::arbitrary(&mut source)));
        broken.push(vec![1; 60_000]);
        let other = Codec::new("other").encode(&ping(socket.local_addr().unwrap())).unwrap();
        broken.push(other);
        let peer = deployment.daemon.peer_address();
        let admin = deployment.daemon.admin_address();
        for datagram in &broken {
            let before = counter(&client::admin(admin, "/status").await, "control_bytes_received");
            socket.send_to(datagram, peer).await.unwrap();
            // One at a time, so that the system drops none for want of room.
            wait_received(&deployment, before + u64::from(!datagram.is_empty())).await;
        }
        let members = client::admin(admin, "/members").await;
        assert_eq!(members.as_array().unwrap().len(), 1, "{members}");
        assert_serves(&deployment).await;
    })
    .await;
}

/// As above over TCP: bytes that are no message of any VM arrive at the paths
/// that VMs ask each other at, and bytes that are no HTTP at the port.
#[tokio::test]
async fn broken_questions_are_refused() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let peer = deployment.daemon.peer_address();
        let mut source = Gen::from_size_and_seed(300, SEED);
        for round in 0..100 {
            for path in PEER_PATHS {
                let question: Vec<u8> = Vec::arbitrary(&mut source);
                let request = client::request(Method::POST, path, Bytes::from(question));
                let answer = client::send(peer, request).await.unwrap();
                assert!(answer.status() != 500, "{round} {path} {answer:?}");
            }
            let request = client::request(Method::POST, "/slots", Vec::arbitrary(&mut source));
            let request = client::with_header(request, "pistachiotrack-hop", "vm-07");
            let noise = String::arbitrary(&mut source).replace(|c: char| !c.is_ascii_graphic(), "");
            let request = client::with_header(request, "pistachiotrack-route", &noise);
            let answer = client::send(peer, request).await.unwrap();
            assert!(answer.status().is_client_error() || answer.status() == 503, "{answer:?}");
            let mut stream = TcpStream::connect(peer).await.unwrap();
            let noise: Vec<u8> = Vec::arbitrary(&mut source);
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

/// A VM that is listed for this deployment runs another one, as after an
/// address was given to another customer. The two must not become members of
/// one fleet, or requests would be sent on to a VM without their services.
#[tokio::test]
async fn vms_of_another_deployment_stay_strangers() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[search.address], &[]));
        let first = Vm::start("vm-01", platform.address).await;
        let second = Vm::start("vm-02", platform.address).await;
        let stranger = Vm::start_in_deployment("elsewhere", "vm-03", platform.address).await;
        let lines = [first.vm_list_entry(), second.vm_list_entry(), stranger.vm_list_entry()];
        publish_vm_list(&platform, 2, &lines);
        // The list gives a VM ten seconds to answer; then it counts as dead.
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
