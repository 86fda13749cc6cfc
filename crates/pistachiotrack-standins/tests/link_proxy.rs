//! Tests that the link proxy forwards datagrams and connections, except in the direction of a
//! faulty link.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiotrack_standins::{
    daemon::free_ports,
    link::{Delivery, LinkFaults, Links},
    link_proxy::LinkProxy,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
};

const BLOCKED: LinkFaults = LinkFaults { blocked: true, drop_share: 0.0, delay: Duration::ZERO };
const SILENCE_CHECK: Duration = Duration::from_millis(50);

/// Two VMs, 0 (left) and 1 (right), with a link proxy in front of VM 1.
struct Pair {
    left: UdpSocket,
    right: UdpSocket,
    right_listener: TcpListener,
    link_proxy: LinkProxy,
    links: Links,
}

async fn pair() -> Pair {
    let ports = free_ports(3).expect("ports");
    let left = SocketAddr::from(([127, 1, 0, 1], ports[0]));
    let right = SocketAddr::from(([127, 1, 0, 2], ports[1]));
    let address = SocketAddr::from(([127, 0, 0, 1], ports[2]));
    let links = Links::new(1);
    let senders = Arc::new([(left.ip(), 0), (right.ip(), 1)].into_iter().collect());
    let link_proxy = LinkProxy::start(address, 1, right, links.clone(), senders);
    Pair {
        left: UdpSocket::bind(left).await.expect("left"),
        right: UdpSocket::bind(right).await.expect("right"),
        right_listener: TcpListener::bind(right).await.expect("listener"),
        link_proxy: link_proxy.await.expect("link proxy"),
        links,
    }
}

/// Connects from the left VM's own address, as a VM does.
async fn connect_from_left(pair: &Pair) -> TcpStream {
    let ip = pair.left.local_addr().expect("address").ip();
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind((ip, 0).into()).expect("bind");
    socket.connect(pair.link_proxy.address()).await.expect("connect")
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (length, from) = socket.recv_from(&mut buffer).await.expect("datagram");
    (buffer[..length].to_vec(), from)
}

#[tokio::test]
async fn datagrams_and_their_answers_are_forwarded() {
    let pair = pair().await;
    pair.left.send_to(b"ping", pair.link_proxy.address()).await.expect("send");
    let (bytes, from) = receive(&pair.right).await;
    assert_eq!(bytes, b"ping");
    pair.right.send_to(b"ack", from).await.expect("send");
    assert_eq!(receive(&pair.left).await, (b"ack".to_vec(), pair.link_proxy.address()));
}

/// A link is blocked in one direction only: a ping arrives, its answer does not.
#[tokio::test]
async fn a_link_is_blocked_in_one_direction() {
    let pair = pair().await;
    pair.links.set(1, 0, BLOCKED);
    pair.left.send_to(b"ping", pair.link_proxy.address()).await.expect("send");
    let (_, from) = receive(&pair.right).await;
    pair.right.send_to(b"ack", from).await.expect("send");
    assert!(tokio::time::timeout(SILENCE_CHECK, receive(&pair.left)).await.is_err());
    pair.links.set_all(LinkFaults::default());
    pair.right.send_to(b"late", from).await.expect("send");
    assert_eq!(receive(&pair.left).await.0, b"late");
}

/// A partition begins while a connection is open: bytes sent on it are lost without an error,
/// and it stays blocked after the partition ends; a new connection works.
#[tokio::test]
async fn a_connection_that_lost_bytes_stays_silent() {
    let pair = pair().await;
    let mut old = connect_from_left(&pair).await;
    let (mut accepted, _) = pair.right_listener.accept().await.expect("accept");
    old.write_all(b"one").await.expect("write");
    let mut buffer = [0; 3];
    accepted.read_exact(&mut buffer).await.expect("read");
    pair.links.partition(2, 1);
    old.write_all(b"two").await.expect("write");
    assert!(tokio::time::timeout(SILENCE_CHECK, accepted.read(&mut buffer)).await.is_err());
    pair.links.set_all(LinkFaults::default());
    old.write_all(b"six").await.expect("write");
    assert!(tokio::time::timeout(SILENCE_CHECK, accepted.read(&mut buffer)).await.is_err());
    let mut new = connect_from_left(&pair).await;
    let (mut accepted, _) = pair.right_listener.accept().await.expect("accept");
    new.write_all(b"ten").await.expect("write");
    accepted.read_exact(&mut buffer).await.expect("read");
    assert_eq!(&buffer, b"ten");
}

#[test]
fn a_share_of_the_datagrams_is_dropped() {
    let links = Links::new(7);
    links.set_all(LinkFaults { drop_share: 0.2, ..LinkFaults::default() });
    let dropped =
        (0..10_000).filter(|_| links.deliver_datagram(Some(0), 1) == Delivery::Dropped).count();
    assert!((1_800..2_200).contains(&dropped), "{dropped}");
    assert_eq!(links.deliver_stream(Some(0), 1), Delivery::After(Duration::ZERO));
}
