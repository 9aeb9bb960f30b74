//! The fault-injecting proxy as a library and as a process.

#![expect(clippy::unwrap_used, reason = "a failed fixture fails its test")]

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use monsooncart_testbed::fault::rule::{Direction, End, Fault, Rule};
use monsooncart_testbed::fault::{control, link, proxy};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Timeout of any condition.
const TIMEOUT: Duration = Duration::from_secs(30);

fn loopback(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 0))
}

/// Starts a server that echoes everything, on TCP and UDP of one port.
async fn start_echo_server() -> SocketAddr {
    let (tcp, udp) = loop {
        let tcp = TcpListener::bind(loopback(1)).await.unwrap();
        if let Ok(udp) = UdpSocket::bind(tcp.local_addr().unwrap()).await {
            break (tcp, udp);
        }
    };
    let address = tcp.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = tcp.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    tokio::spawn(async move {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = udp.recv_from(&mut buffer).await {
            let _ = udp.send_to(&buffer[..length], from).await;
        }
    });
    address
}

/// Starts a proxy with one link, whose target is an echo server.
async fn start_link() -> (Arc<proxy::Proxy>, Arc<link::Link>) {
    let proxy = proxy::Proxy::new(1);
    let target = start_echo_server().await;
    let link = proxy.add("echo", loopback(1), Some(target)).await.unwrap();
    (proxy, link)
}

async fn connect(link: &link::Link) -> TcpStream {
    TcpStream::connect(link.address()).await.unwrap()
}

/// Sends bytes and checks that they are echoed.
async fn exchange(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
    stream.write_all(text).await?;
    let mut back = vec![0; text.len()];
    let read = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut back)).await;
    read.unwrap()?;
    assert_eq!(back, text);
    Ok(())
}

/// Sends datagrams until one is echoed.
async fn wait_for_datagram(socket: &UdpSocket, link: &link::Link) {
    let start = std::time::Instant::now();
    let mut buffer = [0; 64];
    loop {
        assert!(start.elapsed() < TIMEOUT, "no datagram returned");
        socket.send_to(b"ping", link.address()).await.unwrap();
        let wait = Duration::from_millis(50);
        if tokio::time::timeout(wait, socket.recv_from(&mut buffer))
            .await
            .is_ok()
        {
            return;
        }
    }
}

async fn wait_for_counts(link: &link::Link, wanted: impl Fn(link::Counts) -> bool) {
    let start = std::time::Instant::now();
    while !wanted(link.counts()) {
        assert!(
            start.elapsed() < TIMEOUT,
            "counts stay at {:?}",
            link.counts()
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn bytes_and_datagrams_are_forwarded_in_both_directions() {
    let (_proxy, link) = start_link().await;
    let socket = UdpSocket::bind(loopback(1)).await.unwrap();
    let mut stream = connect(&link).await;

    exchange(&mut stream, &[7; 100_000]).await.unwrap();
    wait_for_datagram(&socket, &link).await;

    let counts = link.counts();
    assert_eq!(counts.bytes_to_target, 100_000);
    assert_eq!(counts.bytes_from_target, 100_000);
}

#[tokio::test]
async fn half_close_is_forwarded_and_the_other_direction_stays_open() {
    let (_proxy, link) = start_link().await;
    let mut stream = connect(&link).await;

    stream.write_all(b"whole").await.unwrap();
    stream.shutdown().await.unwrap();

    let mut back = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut back)).await;
    read.unwrap().unwrap();
    assert_eq!(back, b"whole");
}

#[tokio::test]
async fn cut_from_the_target_delays_responses_until_it_is_removed() {
    let (_proxy, link) = start_link().await;
    let mut stream = connect(&link).await;
    exchange(&mut stream, b"before").await.unwrap();
    link.set_rules(vec![Rule::one_way(Direction::FromTarget, Fault::Cut)]);

    stream.write_all(b"during").await.unwrap();
    wait_for_counts(&link, |c| c.bytes_to_target == 12).await;
    let returned_during_cut = link.counts().bytes_from_target;
    link.set_rules(Vec::new());
    let mut back = [0; 6];
    let read = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut back)).await;
    read.unwrap().unwrap();

    assert_eq!(returned_during_cut, 6);
    assert_eq!(&back, b"during");
}

#[tokio::test]
async fn cut_of_one_source_does_not_affect_another() {
    let (_proxy, link) = start_link().await;
    let cut: IpAddr = loopback(2).ip();
    link.set_rules(vec![
        Rule::one_way(Direction::ToTarget, Fault::Cut).for_source(cut),
    ]);
    let lost = UdpSocket::bind(loopback(2)).await.unwrap();
    let unaffected = UdpSocket::bind(loopback(3)).await.unwrap();

    lost.send_to(b"lost", link.address()).await.unwrap();
    wait_for_counts(&link, |c| c.datagrams_lost == 1).await;
    wait_for_datagram(&unaffected, &link).await;

    assert_eq!(link.counts().datagrams_lost, 1);
}

#[tokio::test]
async fn silenced_connection_stays_open_while_new_ones_work() {
    let (_proxy, link) = start_link().await;
    let mut old = connect(&link).await;
    exchange(&mut old, b"before").await.unwrap();

    link.end(End::Silence);
    old.write_all(b"after").await.unwrap();
    let mut new = connect(&link).await;
    exchange(&mut new, b"new").await.unwrap();

    assert_eq!(link.counts().bytes_to_target, 6 + 3);
    let mut buffer = [0; 8];
    let silent = old.try_read(&mut buffer).map_err(|e| e.kind());
    assert_eq!(silent, Err(std::io::ErrorKind::WouldBlock));
}

#[tokio::test]
async fn reset_terminates_open_connections() {
    let (_proxy, link) = start_link().await;
    let mut stream = connect(&link).await;
    exchange(&mut stream, b"before").await.unwrap();

    link.end(End::Reset);

    let mut buffer = [0; 8];
    let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
    let kind = read.unwrap().map_err(|e| e.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn connection_is_closed_after_a_number_of_bytes() {
    let (_proxy, link) = start_link().await;
    let limit = Fault::Limit {
        bytes: 10,
        end: End::Close,
    };
    link.set_rules(vec![Rule::one_way(Direction::FromTarget, limit)]);
    let mut stream = connect(&link).await;

    stream.write_all(&[1; 100]).await.unwrap();

    let mut back = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut back)).await;
    read.unwrap().unwrap();
    assert_eq!(back.len(), 10);
}

#[tokio::test]
async fn refused_connection_is_reset() {
    let (_proxy, link) = start_link().await;
    link.set_rules(vec![Rule::both_ways(Fault::Refuse)]);
    let mut stream = connect(&link).await;

    let mut buffer = [0; 8];
    let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;

    let kind = read.unwrap().map_err(|e| e.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn same_seed_drops_the_same_datagrams() {
    let mut lost = Vec::new();
    for _ in 0..2 {
        let (_proxy, link) = start_link().await;
        let half = Fault::Drop { share: 0.5 };
        link.set_rules(vec![Rule::one_way(Direction::ToTarget, half)]);
        let socket = UdpSocket::bind(loopback(1)).await.unwrap();

        for sent in 1..=100 {
            socket.send_to(b"ping", link.address()).await.unwrap();
            let met = |c: link::Counts| c.datagrams_to_target + c.datagrams_lost == sent;
            wait_for_counts(&link, met).await;
        }

        lost.push(link.counts().datagrams_lost);
    }
    assert_eq!(lost[0], lost[1]);
    assert!((20..=80).contains(&lost[0]), "lost {}", lost[0]);
}

/// Sends a request to the control listener; returns status and body.
async fn control(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let socket = TcpSocket::new_v4().unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: fault\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, body.to_owned())
}

#[tokio::test]
async fn links_are_configured_through_the_control_listener() {
    let target = start_echo_server().await;
    let proxy = proxy::Proxy::new(1);
    let listener = TcpListener::bind(loopback(1)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(control::serve(proxy.clone(), listener));

    let spec = format!(r#"{{"listen":"127.0.0.1:0","target":"{target}"}}"#);
    let (added, _) = control(address, "PUT", "/v1/links/echo", &spec).await;
    let rules = r#"[{"direction":"to-target","fault":{"delay":{"millis":1}}},{"fault":"refuse"}]"#;
    let (set, body) = control(address, "PUT", "/v1/links/echo/rules", rules).await;
    let (bad, _) = control(address, "PUT", "/v1/links/echo/rules", "[{}]").await;
    let (missing, _) = control(address, "POST", "/v1/links/other/end", "\"reset\"").await;

    assert_eq!([added, set, bad, missing], [200, 200, 400, 404]);
    let views: Vec<control::View> = serde_json::from_str(&body).unwrap();
    assert_eq!(views[0].rules.len(), 2);
    assert_eq!(views[0].rules[1], Rule::both_ways(Fault::Refuse));
}

/// The proxy as a process, killed when dropped.
struct Process {
    child: tokio::process::Child,
    control: SocketAddr,
    link: SocketAddr,
}

impl Process {
    /// Starts the process with one link to `target`, and reads its addresses.
    async fn start(target: SocketAddr) -> Self {
        let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_monsooncart-testbed"))
            .args(["fault", "--control", "127.0.0.1:0", "--seed", "5"])
            .args(["--link", &format!("echo=127.0.0.1:0,{target}")])
            .stdout(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        loop {
            let line = tokio::time::timeout(TIMEOUT, lines.next_line()).await;
            let line = line.unwrap().unwrap();
            let line = line.expect("the process prints its addresses");
            let Some(addresses) = line.strip_prefix("ready: ") else {
                continue;
            };
            let address = |name: &str| {
                let mut pairs = addresses.split(' ').filter_map(|p| p.split_once('='));
                let found = pairs.find(|(key, _)| *key == name);
                found.unwrap().1.parse().unwrap()
            };
            return Self {
                control: address("control"),
                link: address("echo"),
                child,
            };
        }
    }
}

#[tokio::test]
async fn process_forwards_traffic_and_injects_faults() {
    let target = start_echo_server().await;
    let mut process = Process::start(target).await;
    let mut stream = TcpStream::connect(process.link).await.unwrap();

    exchange(&mut stream, b"before").await.unwrap();
    let end = control(process.control, "POST", "/v1/links/echo/end", "\"reset\"").await;

    assert_eq!(end.0, 200);
    let mut buffer = [0; 8];
    let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
    let kind = read.unwrap().map_err(|e| e.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
    process.child.kill().await.unwrap();
}
