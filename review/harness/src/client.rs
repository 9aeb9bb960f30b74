//! Stand-in of a consumer: one attempt at a time.

use std::io;
use std::time::{Duration, Instant};

use crate::http;
use crate::record;

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer, with its status and whether it bears a server's seal.
    Answered {
        status: u16,
        sealed: bool,
        closes: bool,
    },
    /// The daemon closed the connection.
    Closed,
    /// The consumer left at its time budget.
    GaveUp,
}

/// An ended attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent_at: f64,
    pub ended_at: f64,
    pub end: End,
}

/// Sends a request on a connection and waits for its answer until the time budget is used up.
pub fn send(connection: &mut http::Connection, request: &Request<'_>) -> Attempt {
    let started = Instant::now();
    let sent_at = record::note(format!(
        "consumer: sends {} {} {}",
        request.id, request.method, request.path
    ));
    let end = match exchange(connection, request, started) {
        Ok(end) => end,
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            End::GaveUp
        }
        Err(_) => End::Closed,
    };
    let ended_at = record::note(format!(
        "consumer: {} ended after {:.3} s: {end:?}",
        request.id,
        started.elapsed().as_secs_f64()
    ));
    Attempt {
        sent_at,
        ended_at,
        end,
    }
}

fn exchange(
    connection: &mut http::Connection,
    request: &Request<'_>,
    started: Instant,
) -> io::Result<End> {
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.body.len()
    );
    let _ = connection
        .stream()
        .set_write_timeout(Some(request.deadline));
    connection.write(head.as_bytes())?;
    connection.write(request.body)?;
    connection.set_read_timeout(request.deadline.saturating_sub(started.elapsed()));
    let Some(head) = connection.read_head()? else {
        return Ok(End::Closed);
    };
    connection.set_read_timeout(request.deadline.saturating_sub(started.elapsed()));
    connection.read_body(&head, true)?;
    Ok(End::Answered {
        status: head.status(),
        sealed: head.header("x-server-seal").is_some(),
        closes: head.closes(),
    })
}
