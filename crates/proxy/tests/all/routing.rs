//! Requests are routed to the most specific route that accepts their method.

use std::sync::Arc;

use monsooncart_config::service;

use crate::fixture;

fn service_with_routes(
    name: &str,
    address: std::net::SocketAddr,
    paths: &[&str],
) -> service::Service {
    let server = fixture::server_spec(&format!("{name}-0"), address);
    let mut service = fixture::service(vec![server]);
    service.name = name.parse().unwrap();
    service.routes = paths
        .iter()
        .map(|path| fixture::route(&["GET"], path, true))
        .collect();
    service
}

#[tokio::test]
async fn literal_segments_precede_wildcards_and_catch_alls() {
    let [literal, one, rest] = [
        fixture::start_backend("literal").await,
        fixture::start_backend("one").await,
        fixture::start_backend("rest").await,
    ];
    let proxy = fixture::start_proxy(&[]).await;
    let mut snapshot = fixture::snapshot(&service_with_routes(
        "literal",
        literal.address(),
        &["/a/b/c"],
    ));
    for service in [
        service_with_routes("one", one.address(), &["/a/*/c"]),
        service_with_routes("rest", rest.address(), &["/a/**"]),
    ] {
        let key = monsooncart_config::object::Key::Service(service.name.clone());
        let value = monsooncart_config::object::Value::Service(Some(Box::new(service)));
        snapshot = snapshot.with_object(&key, 1, value).unwrap();
    }
    proxy.engine.configure(Arc::new(snapshot));

    for (path, server) in [
        ("/a/b/c", "literal"),
        ("/a/%62/c", "literal"),
        ("/a/x/c", "one"),
        ("/a/b/d", "rest"),
        ("/a", "rest"),
    ] {
        let response = fixture::send(proxy.address, fixture::request("GET", path, "")).await;

        assert_eq!(response.echo().server, server, "{path}");
    }
}

#[tokio::test]
async fn configuration_change_redirects_requests_and_removal_makes_a_service_unknown() {
    let [old, new] = [
        fixture::start_backend("old").await,
        fixture::start_backend("new").await,
    ];
    let proxy = fixture::start_proxy(&[old.address()]).await;
    let before = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;
    let moved = fixture::service(vec![fixture::server_spec("server-0", new.address())]);

    proxy.engine.configure(Arc::new(fixture::snapshot(&moved)));
    let after = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;
    let key = monsooncart_config::object::Key::Service(moved.name.clone());
    let value = monsooncart_config::object::Value::Service(None);
    let removed = proxy.engine.snapshot().with_object(&key, 2, value).unwrap();
    proxy.engine.configure(Arc::new(removed));
    let after_removal = fixture::send(proxy.address, fixture::request("GET", "/items/1", "")).await;

    assert_eq!(before.echo().server, "old");
    assert_eq!(after.echo().server, "new");
    assert_eq!(after_removal.status, 404);
}
