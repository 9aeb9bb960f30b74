//! Frames, datagrams and messages: round trips, bounds and arbitrary input.

#![expect(clippy::unwrap_used, reason = "a failed fixture fails its test")]

use std::net;
use std::pin::pin;
use std::time::{Duration, Instant};

use arbtest::arbtest;
use bytes::BytesMut;
use futures_util::StreamExt;
use monsooncart_config::object;
use monsooncart_policy::claims::successor;
use monsooncart_policy::handle;
use monsooncart_policy::membership::{action, event, member, message, protocol, record, timings};
use monsooncart_types::{id, instance, run, time};
use monsooncart_wire::{
    claims, configuration, datagram, floor, frame, hello, peer, sync, update, usage,
};
use tokio::io::AsyncWriteExt;
use tokio_serde::Deserializer;

fn secret(byte: u8) -> datagram::Secret {
    datagram::Secret::new([byte; 32])
}

fn item(number: u64) -> update::Item {
    update::Item {
        id: number,
        age_millis: 5,
        reach: update::Reach::Fleet,
        update: update::Update::Leaving {
            service: "wiredesk".parse().unwrap(),
            server: "wiredesk-1".parse().unwrap(),
        },
    }
}

fn address(number: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv6Addr::from(u128::MAX), number))
}

/// A member with the longest names and addresses.
fn large_member(number: u16) -> member::Member {
    let name = format!("{number:0>100}");
    member::Member {
        vm: name.parse().unwrap(),
        instance: instance::Instance(u64::MAX - u64::from(number)),
        peers: address(number),
        callers: address(number),
        admin: address(number),
        data_centre: name.parse().unwrap(),
        region: "a".repeat(100).parse().unwrap(),
        state: member::State::Alive,
        leaving: true,
        capacity: 1000,
    }
}

fn large_record(number: u16) -> record::Record {
    record::Record {
        member: large_member(number),
        incarnation: u64::MAX - 1,
    }
}

type Request = tarpc::ClientMessage<peer::PeerRequest>;

type Reply = tarpc::Response<peer::PeerResponse>;

/// Decodes a request like a listener.
fn request(bytes: &[u8]) -> std::io::Result<Request> {
    let codec = pin!(frame::Codec::<Request, Reply>::new(peer::check_request));
    codec.deserialize(&BytesMut::from(bytes))
}

/// Decodes a reply like a dialling daemon.
fn reply(bytes: &[u8]) -> std::io::Result<Reply> {
    let codec = pin!(frame::Codec::<Reply, Request>::new(peer::check_reply));
    codec.deserialize(&BytesMut::from(bytes))
}

/// Encoded request with a deadline.
fn encoded_request(deadline: Instant) -> Vec<u8> {
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    let message = peer::PeerRequest::Floor {
        request: floor::Request {
            payload: vec![1, 2, 3].into(),
        },
    };
    let request = tarpc::Request {
        context,
        id: 7,
        message,
    };
    let encoded = frame::encode(&tarpc::ClientMessage::Request(request));
    encoded.unwrap().to_vec()
}

fn decode_all(bytes: &[u8]) {
    let _ = frame::decode::<hello::Hello>(bytes);
    let _ = frame::decode::<hello::Answer>(bytes);
    let _ = request(bytes);
    let _ = reply(bytes);
    let _ = frame::decode::<claims::HandOver>(bytes);
    let _ = frame::decode::<configuration::Objects>(bytes);
    let _ = frame::decode::<floor::Request>(bytes);
    let _ = frame::decode::<sync::Request>(bytes);
    let _ = frame::decode::<usage::Copies>(bytes);
    let _ = frame::decode::<Vec<update::Item>>(bytes);
}

#[test]
fn arbitrary_frames_do_not_panic() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;

        decode_all(&bytes);

        Ok(())
    });
}

#[test]
fn a_length_without_content_allocates_no_memory() {
    // postcard's encoding of the length u64::MAX.
    let length = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

    let records = frame::decode::<sync::Request>(&length);
    let items = frame::decode::<Vec<update::Item>>(&length);
    let payload = frame::decode::<floor::Request>(&length);

    assert!(records.is_err() && items.is_err() && payload.is_err());
}

#[test]
fn a_corrupted_frame_does_not_panic() {
    arbtest(|u| {
        let sent = sync::Request {
            digest: u.arbitrary()?,
            records: vec![large_record(1)],
            retained: sync::Retained::Ids(u.arbitrary()?),
            updates: vec![item(u.arbitrary()?)],
        };
        let mut bytes = frame::encode(&sent).unwrap().to_vec();
        let at = u.choose_index(bytes.len())?;
        bytes[at] = u.arbitrary()?;

        decode_all(&bytes);

        Ok(())
    });
}

#[test]
fn a_request_with_a_typical_deadline_is_accepted() {
    let bytes = encoded_request(Instant::now() + Duration::from_secs(60));

    let decoded = request(&bytes);

    assert!(matches!(decoded, Ok(tarpc::ClientMessage::Request(r)) if r.id == 7));
}

#[test]
fn a_deadline_that_overflows_an_instant_is_rejected() {
    let bytes = encoded_request(Instant::now() + Duration::from_secs(60));
    // The first byte is the variant, the second one the seconds of the deadline.
    let mut forged = vec![bytes[0]];
    forged.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    forged.extend(&bytes[2..]);

    let decoded = request(&forged);

    let error = decoded.map(drop).unwrap_err().to_string();
    assert!(error.contains("deadline"), "{error}");
}

#[test]
fn a_corrupted_request_does_not_panic() {
    arbtest(|u| {
        let mut bytes = encoded_request(Instant::now() + Duration::from_secs(60));
        for _ in 0..u.int_in_range(1..=4)? {
            let at = u.choose_index(bytes.len())?;
            bytes[at] = u.arbitrary()?;
        }

        decode_all(&bytes);

        Ok(())
    });
}

#[test]
fn a_frame_is_exactly_one_value() {
    let sent = vec![item(1), item(2)];
    let bytes = frame::encode(&sent).unwrap().to_vec();
    let mut longer = bytes.clone();
    longer.push(0);

    let whole = frame::decode::<Vec<update::Item>>(&bytes);
    let short = frame::decode::<Vec<update::Item>>(&bytes[..bytes.len() - 1]);
    let long = frame::decode::<Vec<update::Item>>(&longer);

    assert_eq!(whole.unwrap(), sent);
    assert!(short.is_err() && long.is_err());
}

#[test]
fn a_value_larger_than_a_frame_is_rejected() {
    let payload = vec![0; frame::MAX_BYTES + 1].into();

    let encoded = frame::encode(&floor::Request { payload });

    assert!(encoded.is_err());
}

#[tokio::test]
async fn a_length_above_the_bound_closes_the_connection() {
    let (mut local, remote) = tokio::io::duplex(64);
    let length = u32::try_from(frame::MAX_BYTES + 1).unwrap();
    local.write_all(&length.to_be_bytes()).await.unwrap();
    let frames = frame::framed(remote);
    let mut calls = frame::transport::<_, Reply, Request>(frames, peer::check_reply);

    let read = calls.next().await.unwrap();

    assert!(read.is_err());
}

#[tokio::test]
async fn frames_before_the_handshake_are_limited_to_a_small_size() {
    let (mut local, remote) = tokio::io::duplex(64);
    let length = u32::try_from(frame::MAX_HELLO_BYTES + 1).unwrap();
    local.write_all(&length.to_be_bytes()).await.unwrap();
    let mut frames = frame::framed(remote);

    let read = frames.next().await.unwrap();

    assert!(read.is_err());
    assert!(frames.read_buffer().capacity() <= 16 * frame::MAX_HELLO_BYTES);
}

#[test]
fn the_largest_hello_fits_a_frame() {
    let hello = hello::Hello {
        version: hello::VERSION,
        vm: "v".repeat(100).parse().unwrap(),
        instance: instance::Instance(u64::MAX),
        mac: Some([u8::MAX; 32]),
    };

    let encoded = frame::encode(&hello).unwrap();

    assert!(encoded.len() <= frame::MAX_HELLO_BYTES);
}

#[test]
fn every_update_survives_a_round_trip() {
    let service = || "wiredesk".parse().unwrap();
    let all = [
        update::Update::Leaving {
            service: service(),
            server: "s".parse().unwrap(),
        },
        update::Update::Quarantine {
            service: service(),
            fingerprint: handle::Fingerprint(7),
            span: Duration::from_millis(1500),
        },
        update::Update::Acquittal {
            service: service(),
            fingerprint: handle::Fingerprint(7),
        },
        update::Update::Blame {
            service: service(),
            fingerprint: handle::Fingerprint(7),
            run: run::Run {
                server: "s.r-1".parse().unwrap(),
                started_millis: 1_780_000_000_000,
            },
        },
        update::Update::Ledger {
            service: service(),
            version: 9,
        },
        update::Update::Succession(successor::Succession {
            from: instance::Instance(1),
            to: instance::Instance(2),
        }),
        update::Update::Configuration {
            key: object::Key::Service(service()),
            version: 3,
            value: None,
            holder: ([10, 0, 0, 1], 7000).into(),
        },
        update::Update::Evidence {
            service: service(),
            from: instance::Instance(1),
            digests: Vec::new(),
        },
    ];
    for update in all {
        let sent = datagram::Datagram::News(vec![update::Item { update, ..item(1) }]);

        let bytes = datagram::encode(&sent, None).unwrap();

        assert_eq!(datagram::decode(&bytes, None), Ok(sent));
    }
}

#[test]
fn arbitrary_datagrams_do_not_panic() {
    arbtest(|u| {
        let mut bytes = b"MC\x01\x00".to_vec();
        if u.arbitrary()? {
            bytes.clear();
        }
        bytes.extend(u.arbitrary::<Vec<u8>>()?);

        let _ = datagram::decode(&bytes, None);
        let _ = datagram::decode(&bytes, Some(&secret(1)));

        Ok(())
    });
}

#[test]
fn an_authenticated_datagram_is_accepted_only_unchanged() {
    arbtest(|u| {
        let sent = datagram::Datagram::News(vec![item(u.arbitrary()?)]);
        let bytes = datagram::encode(&sent, Some(&secret(1))).unwrap();
        let mut changed = bytes.clone();
        let at = u.choose_index(changed.len())?;
        changed[at] ^= u.int_in_range(1..=255)?;

        let decoded = datagram::decode(&bytes, Some(&secret(1)));
        let changed = datagram::decode(&changed, Some(&secret(1)));
        let foreign = datagram::decode(&bytes, Some(&secret(2)));
        let open = datagram::decode(&bytes, None);

        assert_eq!(decoded, Ok(sent));
        assert!(changed.is_err() && foreign.is_err() && open.is_err());
        Ok(())
    });
}

#[test]
fn a_datagram_without_a_code_is_rejected_if_there_is_a_secret() {
    let sent = datagram::Datagram::News(vec![item(1)]);
    let bytes = datagram::encode(&sent, None).unwrap();

    let decoded = datagram::decode(&bytes, Some(&secret(1)));

    assert_eq!(decoded, Err(datagram::Error::Unauthenticated));
}

#[test]
fn every_membership_message_fits_a_datagram() {
    let mut protocol = protocol::Protocol::new(
        time::Time::ZERO,
        large_member(0),
        u64::MAX / 2,
        vec![address(9999)],
        timings::Timings::default(),
        1,
    );
    let records = (1..60).map(large_record).collect();
    let mut actions = Vec::new();
    let mut largest = 0;

    protocol.handle(
        time::Time::ZERO,
        event::Event::Records(records),
        &mut actions,
    );
    for step in 0..200 {
        let now = time::Time::from_millis(100 * step);
        protocol.handle(now, event::Event::Tick, &mut actions);
        let ping = message::Message {
            from: instance::Instance(u64::MAX - 1),
            reply: address(1),
            kind: message::Kind::Ping { number: u64::MAX },
            records: Vec::new(),
        };
        protocol.handle(now, event::Event::Datagram(ping), &mut actions);
        for action in actions.drain(..) {
            if let action::Action::Send { message, .. } = action {
                let datagram = datagram::Datagram::Membership(message);
                let bytes = datagram::encode(&datagram, Some(&secret(1))).unwrap();
                largest = bytes.len().max(largest);
            }
        }
    }

    assert!(
        largest > datagram::MAX_BYTES / 2,
        "the largest has {largest} bytes"
    );
}

#[test]
fn a_hello_is_authentic_only_with_the_secret_and_from_its_address() {
    let secret = datagram::Secret::new([1; 32]);
    let other = datagram::Secret::new([2; 32]);
    let here = "10.0.0.1".parse().unwrap();
    let elsewhere = "10.0.0.2".parse().unwrap();
    let vm = || "entry-1".parse().unwrap();
    let dialler = instance::Instance(7);

    let signed = hello::Hello::new(vm(), dialler, here, Some(&secret));
    let unsigned = hello::Hello::new(vm(), dialler, here, None);

    assert!(signed.is_authentic(Some(&secret), here));
    assert!(!signed.is_authentic(Some(&secret), elsewhere));
    assert!(!signed.is_authentic(Some(&other), here));
    assert!(!unsigned.is_authentic(Some(&secret), here));
    assert!(unsigned.is_authentic(None, here));
}

/// Guards against reports of crashes that daemons of earlier builds can't read, and theirs that this one
/// can't, while builds run side by side.
#[test]
fn runs_of_servers_are_names_of_servers_to_earlier_builds() {
    let server: id::Server = "i-7f3a.r-1".parse().unwrap();
    let longest: id::Server = "s".repeat(id::MAX_BYTES).parse().unwrap();
    let ambiguous: id::Server = "i-7f3a.r1".parse().unwrap();
    let runs = [
        (&server, 1_780_000_000_000),
        (&server, 0),
        (&ambiguous, 0),
        (&ambiguous, 5),
        (&longest, 7),
    ];
    for (server, started_millis) in runs {
        let run = run::Run {
            server: server.clone(),
            started_millis,
        };
        let bytes = postcard::to_stdvec(&run).unwrap();

        let read_by_earlier: id::Server = postcard::from_bytes(&bytes).unwrap();
        let read: run::Run = postcard::from_bytes(&bytes).unwrap();

        assert!(read_by_earlier.as_str().starts_with(server.as_str()));
        assert_eq!(read.server, *server);
        let is_long = server.as_str().len() == id::MAX_BYTES;
        let expected = if is_long { 0 } else { started_millis };
        assert_eq!(read.started_millis, expected);
    }
    let of_earlier = postcard::to_stdvec(&server).unwrap();
    let read: run::Run = postcard::from_bytes(&of_earlier).unwrap();
    assert_eq!((read.server, read.started_millis), (server, 0));
}
