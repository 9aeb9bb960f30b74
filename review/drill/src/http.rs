//! HTTP/1.1 messages over blocking streams, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the status line has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn malformed(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(malformed("connection ended within a line"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = read_line(reader)?.ok_or_else(|| malformed("no chunk"))?;
        let size = size.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| malformed("chunk size"))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Reads a message whose body has a length or chunks; `None` at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| malformed("connection ended within a head"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("header"))?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        message.body = read_chunks(reader)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| malformed("length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Writes a message with a body of known length in one piece.
pub fn write(
    stream: &mut impl Write,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// A connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn exchange(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        write(self.reader.get_mut(), start, headers, body)?;
        read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
