//! Builds the request that is sent to a server.

use http::{HeaderValue, header as names};
use monsooncart_policy::claims::ticket;

use super::options;
use crate::{common, header};

/// Builds the head that is sent to a server.
pub fn build_head(
    common: &common::Common,
    mut head: http::request::Parts,
    options: &options::Options,
    ticket: Option<ticket::Ticket>,
) -> http::request::Parts {
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let authority = head.uri.authority().cloned();
    if let Ok(uri) = target.parse() {
        let authority = authority.and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        if let Some(authority) = authority {
            head.headers.entry(names::HOST).or_insert(authority);
        }
        head.uri = uri;
    }
    head.version = http::Version::HTTP_11;
    let headers = &mut head.headers;
    header::strip_hop_by_hop(headers);
    headers.remove(names::CONTENT_LENGTH);
    if let Some(names) = &common.host_headers {
        options.grant.rewrite(names, headers);
        return head;
    }
    header::strip_fleet_headers(headers);
    headers.remove(names::AUTHORIZATION);
    join_cookies(headers);
    if let Ok(name) = HeaderValue::from_str(options.organisation.as_str()) {
        headers.insert(header::ORGANISATION, name);
    }
    if let Some(Ok(ticket)) = ticket.map(|t| HeaderValue::from_str(&t.to_string())) {
        headers.insert(header::TICKET, ticket);
    }
    head
}

/// Joins `cookie` headers into one, since HTTP/2 callers may split them.
fn join_cookies(headers: &mut http::HeaderMap) {
    let cookies: Vec<&[u8]> = headers
        .get_all(names::COOKIE)
        .iter()
        .map(HeaderValue::as_bytes)
        .collect();
    if cookies.len() < 2 {
        return;
    }
    if let Ok(joined) = HeaderValue::from_bytes(&cookies.join(&b"; "[..])) {
        headers.insert(names::COOKIE, joined);
    }
}
