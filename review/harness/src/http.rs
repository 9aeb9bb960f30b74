//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<u64> {
        self.header("content-length")?.trim().parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// A connection with buffered reads.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            reader: BufReader::with_capacity(16 << 10, stream),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// The connection as a reader, with what was buffered.
    pub fn buffered(&mut self) -> &mut impl Read {
        &mut self.reader
    }

    pub fn set_read_timeout(&self, timeout: Duration) {
        let _ = self
            .stream()
            .set_read_timeout(Some(timeout.max(Duration::from_millis(1))));
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a head; `None` if the peer closed the connection before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return match head.first.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end();
            match line.split_once(':') {
                _ if line.is_empty() && head.first.is_empty() => {}
                _ if line.is_empty() => return Ok(Some(head)),
                _ if head.first.is_empty() => head.first = line.to_owned(),
                Some((name, value)) => {
                    head.headers
                        .push((name.to_owned(), value.trim().to_owned()));
                }
                None => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Reads up to `count` bytes that were sent.
    pub fn read_some(&mut self, count: usize) -> io::Result<usize> {
        let mut bytes = vec![0; count];
        self.reader.read(&mut bytes)
    }

    /// Reads the body of a request or response; `is_response` allows one that ends with the connection.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            loop {
                let mut line = String::new();
                if self.reader.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = line.trim().split(';').next().unwrap_or_default();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let start = body.len();
                body.resize(start + size, 0);
                self.reader.read_exact(&mut body[start..])?;
                let mut end = String::new();
                self.reader.read_line(&mut end)?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        match head.length() {
            Some(length) => {
                body.resize(length as usize, 0);
                self.reader.read_exact(&mut body)?;
            }
            None if is_response => {
                self.reader.read_to_end(&mut body)?;
            }
            None => {}
        }
        Ok(body)
    }

    /// Sends a request without a body and reads the response.
    pub fn get(&mut self, host: &str, target: &str) -> io::Result<(Head, Vec<u8>)> {
        self.write(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes())?;
        let head = self.read_head()?;
        let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let body = self.read_body(&head, true)?;
        Ok((head, body))
    }
}

/// Sends a request on a new connection and reads the response.
pub fn get(address: SocketAddr, target: &str, timeout: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address, timeout)?;
    connection.set_read_timeout(timeout);
    connection.get("platform", target)
}
