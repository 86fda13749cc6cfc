//! The format of datagrams: limited in size, verified and safe to decode.

use std::net::SocketAddr;

use pistachiotrack_core::{
    membership::{MemberState, Membership, MembershipSettings},
    message::{
        Codec, Datagram, DatagramError, Identity, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES,
        MemberDetails, Message, PROTOCOL_VERSION, Update,
    },
    name::Name,
    time::Time,
    vm::{DEFAULT_CAPACITY, Vm},
};
use quickcheck::{Arbitrary, Gen};

const CASES: usize = 2_000;

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9101))
}

fn arbitrary_update(source: &mut Gen) -> Update {
    let states =
        [MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead];
    let details = MemberDetails {
        data_centre: Name::from("oslo-1"),
        caller_address: address(),
        peer_address: address(),
        alive_ms: u32::arbitrary(source),
        capacity: u32::arbitrary(source),
    };
    Update {
        name: Name::from(format!("vm-{}", u8::arbitrary(source))),
        incarnation: u64::arbitrary(source),
        refutation: u32::arbitrary(source),
        state: *source.choose(&states).expect("not empty"),
        details: bool::arbitrary(source).then_some(details),
    }
}

fn arbitrary_datagram(source: &mut Gen) -> Datagram {
    let sender = Identity {
        name: Name::from("vm-1"),
        incarnation: u64::arbitrary(source),
        refutation: u32::arbitrary(source),
        leaving: bool::arbitrary(source),
        config_version: Option::arbitrary(source),
        platform_age_ms: Option::arbitrary(source),
    };
    let sequence = u32::arbitrary(source);
    let known_incarnation = u64::arbitrary(source);
    let target = Name::from("vm-2");
    let messages = [
        Message::Ping { sequence, target: target.clone(), known_incarnation },
        Message::Ack { sequence },
        Message::PingRequest {
            sequence,
            target: target.clone(),
            address: address(),
            known_incarnation,
        },
        Message::RelayedAck {
            sequence,
            subject: sender.clone(),
            self_update: Some(arbitrary_update(source)),
        },
        Message::Nack { sequence },
        Message::TableRequest { after: Some(target) },
        Message::TablePage { next: None },
        Message::Leave,
    ];
    let message = source.choose(&messages).expect("not empty").clone();
    let updates = (0..u8::arbitrary(source) % 12).map(|_| arbitrary_update(source)).collect();
    Datagram { sender, message, updates }
}

#[test]
fn encoded_datagrams_round_trip() {
    let codec = Codec::new("timeliten");
    let mut source = Gen::from_size_and_seed(10, 1);
    for _ in 0..CASES {
        let datagram = arbitrary_datagram(&mut source);
        let bytes = codec.encode(&datagram).expect("it fits");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(codec.decode(&bytes), Ok(datagram));
    }
}

#[test]
fn corrupted_datagrams_are_rejected() {
    // A faulty switch or memory flips a bit of a datagram or truncates it. If the bit is in
    // an incarnation, the VM would be considered superseded by a newer one.
    let codec = Codec::new("timeliten");
    let mut source = Gen::from_size_and_seed(10, 2);
    for _ in 0..CASES {
        let bytes = codec.encode(&arbitrary_datagram(&mut source)).expect("it fits");
        let mut flipped = bytes.clone();
        let bit = usize::arbitrary(&mut source) % (bytes.len() * 8);
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(codec.decode(&flipped).is_err());
        let length = usize::arbitrary(&mut source) % bytes.len();
        assert!(codec.decode(&bytes[..length]).is_err());
        let longer = [bytes.as_slice(), &[0]].concat();
        assert!(codec.decode(&longer).is_err());
    }
}

#[test]
fn random_bytes_never_panic() {
    // Anyone can send any bytes to the port. Content behind a valid header reaches the
    // decoder, so that is tested too.
    let codec = Codec::new("timeliten");
    let vm = Vm {
        name: Name::from("vm-1"),
        data_centre: Name::from("oslo-1"),
        incarnation: 1,
        caller_address: address(),
        peer_address: address(),
        capacity: DEFAULT_CAPACITY,
    };
    let settings = MembershipSettings { deployment: "timeliten".into(), ..Default::default() };
    let mut membership = Membership::new(Time::ZERO, vm, settings, 1);
    let mut source = Gen::from_size_and_seed(1_500, 3);
    for _ in 0..CASES {
        let bytes = Vec::<u8>::arbitrary(&mut source);
        assert!(codec.decode(&bytes).is_err());
        // Behind a valid header such content would reach the decoder.
        if let Ok(datagram) = postcard::from_bytes::<Datagram>(&bytes) {
            assert_eq!(codec.decode(&codec.encode(&datagram).expect("it fits")), Ok(datagram));
        }
        // With the right version it looks like another deployment's and is ignored.
        let answer = membership.on_datagram(Time::ZERO, address(), &bytes);
        assert!(answer.is_err() || answer == Ok(Vec::new()));
    }
    assert_eq!(membership.members().count(), 0);
}

#[test]
fn each_reason_for_rejection_has_its_error() {
    let codec = Codec::new("timeliten");
    let datagram = arbitrary_datagram(&mut Gen::from_size_and_seed(10, 4));
    let bytes = codec.encode(&datagram).expect("it fits");
    let large = vec![PROTOCOL_VERSION; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(codec.decode(&large), Err(DatagramError::TooLarge { bytes: 1201 }));
    assert_eq!(codec.decode(&bytes[..3]), Err(DatagramError::Truncated));
    let mut newer = bytes.clone();
    newer[0] = PROTOCOL_VERSION + 1;
    assert_eq!(codec.decode(&newer), Err(DatagramError::UnsupportedVersion(PROTOCOL_VERSION + 1)));
    let other_deployment = Codec::new("tlmocnik").encode(&datagram).expect("it fits");
    assert_eq!(codec.decode(&other_deployment), Err(DatagramError::WrongDeployment));
    let mut long_name = datagram;
    long_name.sender.name = Name::from("x".repeat(MAX_NAME_BYTES + 1));
    let bytes = codec.encode(&long_name).expect("it fits");
    assert_eq!(codec.decode(&bytes), Err(DatagramError::NameTooLong { bytes: MAX_NAME_BYTES + 1 }));
}
